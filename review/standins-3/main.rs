//! Runs a case of the review: `review-3 CASE FOLDER [TROUBLE]`. Exits with 1 if a rule was broken, with 0 if it
//! held, and with 2 if the case could not run.

mod departures;
mod deployment;
mod http;
mod instance;
mod json;
mod machine;
mod poison;
mod record;
mod refusals;
mod store;
mod streams;

use std::path::PathBuf;
use std::process::ExitCode;

/// What a case found.
pub enum Verdict {
    Held,
    Broken,
    NotRun,
}

fn main() -> ExitCode {
    let args: Vec<String> = std::env::args().collect();
    let (Some(case), Some(folder)) = (args.get(1), args.get(2).map(PathBuf::from)) else {
        eprintln!("usage: review-3 CASE FOLDER [TROUBLE]");
        return ExitCode::from(2);
    };
    if case == "streaming-instance" {
        if let Some(addr) = args.get(2).and_then(|text| text.parse().ok()) {
            streams::serve(addr);
        }
        return ExitCode::from(2);
    }
    let trouble = args.get(3).is_none_or(|switch| switch != "0");
    let scratch = std::env::temp_dir().join(format!("review-3-{}", std::process::id()));
    if std::fs::create_dir_all(&scratch).is_err() {
        return ExitCode::from(2);
    }
    let record = std::sync::Arc::new(record::Record::new());
    record.add(if trouble { "with the disruption" } else { "without the disruption" });
    let verdict = match case.as_str() {
        "forgotten-draining" => departures::forgotten_draining(&scratch, &record, trouble),
        "unsaved-departure" => departures::unsaved_departure(&scratch, &record, trouble),
        "cut-while-stopping" => streams::cut_while_stopping(&scratch, &record, trouble),
        "hidden-quarantine" => poison::hidden_quarantine(&scratch, &record, trouble),
        "repeated-refusal" => refusals::repeated_refusal(&scratch, &record, trouble),
        _ => Verdict::NotRun,
    };
    let (text, code) = match verdict {
        Verdict::Held => ("the rule held", 0),
        Verdict::Broken => ("the rule was broken", 1),
        Verdict::NotRun => ("the case could not run", 2),
    };
    record.add(text);
    println!("{text}");
    record.save(&folder);
    if std::env::var_os("KEEP").is_none() {
        let _ = std::fs::remove_dir_all(&scratch);
    } else {
        println!("{}", scratch.display());
    }
    ExitCode::from(code)
}
