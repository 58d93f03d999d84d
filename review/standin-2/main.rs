//! Stand-ins and cases of the second independent review.
//!
//! `review-2 CASE FOLDER` plays a case and writes `record.txt` into the folder. With `TROUBLE=0` it
//! leaves the disruption out. Exit codes: 0 the rule held, 1 it was broken, 2 the case couldn't run.

mod client;
mod cut_watchers;
mod deployment;
mod fleet;
mod http;
mod instance;
mod instance_process;
mod leave_after_restart;
mod poison;
mod record;
mod slow_reader;
mod store;
mod truncated;

use std::path::Path;
use std::process::ExitCode;

use record::Record;

fn main() -> ExitCode {
    let args: Vec<String> = std::env::args().skip(1).collect();
    if args.first().is_some_and(|name| name == "instance") {
        return instance_process::run(&args[1..]);
    }
    let [case, folder] = args.as_slice() else {
        eprintln!("usage: review-2 CASE FOLDER");
        return ExitCode::from(2);
    };
    let trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    match play(case, Path::new(folder), trouble) {
        Ok(broken) => {
            println!(
                "{case}, trouble {trouble}: the rule {}",
                if broken { "is broken" } else { "holds" }
            );
            ExitCode::from(u8::from(broken))
        }
        Err(err) => {
            eprintln!("{case}: {err}");
            ExitCode::from(2)
        }
    }
}

/// Plays a case; returns whether the rule was broken.
fn play(case: &str, folder: &Path, trouble: bool) -> std::io::Result<bool> {
    let record = Record::create(&folder.join("record.txt"))?;
    record.line(&format!("case {case}, trouble {trouble}"));
    let broken = match case {
        "leave-after-restart" => leave_after_restart::play(&record, trouble)?,
        "cut-watchers" => cut_watchers::play(&record, trouble)?,
        "poison" => poison::play(&record, trouble)?,
        "slow-reader" => slow_reader::play(&record, trouble)?,
        "truncated" => truncated::play(&record, trouble)?,
        _ => return Err(std::io::Error::other("no such case")),
    };
    record.line(if broken { "the rule is broken" } else { "the rule holds" });
    Ok(broken)
}
