//! Commands `snipehollow quarantine list` and `snipehollow quarantine lift`.

use serde::Serialize;
use snipehollow_core::quarantine::QuarantineEntry;

use crate::args::QuarantineCommand;
use crate::error::CliError;
use crate::nodes;
use crate::output::{Report, print};
use crate::target::Target;

pub(super) fn run(
    target: &Target,
    json: bool,
    command: &QuarantineCommand,
) -> Result<(), CliError> {
    match command {
        QuarantineCommand::List => list(target, json),
        QuarantineCommand::Lift { service, fingerprint } => {
            lift(target, json, service, fingerprint)
        }
    }
}

#[derive(Serialize)]
struct Listed {
    entries: Vec<QuarantineEntry>,
}

impl Report for Listed {
    fn text(&self) -> String {
        let mut text = format!("{} entries\n", self.entries.len());
        for entry in &self.entries {
            let state = if entry.is_quarantined() { "quarantined" } else { "suspected" };
            text.push_str(&format!(
                "{} {state}, expires in {} s\n",
                entry.fingerprint,
                entry.expires_in_ms / 1_000
            ));
        }
        text
    }
}

fn list(target: &Target, json: bool) -> Result<(), CliError> {
    let mut entries: Vec<QuarantineEntry> = Vec::new();
    for node in target.nodes()? {
        let found: Vec<QuarantineEntry> = nodes::get(*node, "/quarantine")?;
        entries.extend(found);
    }
    // Where nodes disagree on an entry, the one with the most lifts is shown, and among those the
    // one with the most crashes.
    entries
        .sort_by_key(|entry| (entry.fingerprint, std::cmp::Reverse((entry.lifts, entry.crashes))));
    entries.dedup_by_key(|entry| entry.fingerprint);
    print(json, &Listed { entries })
}

#[derive(Serialize)]
struct Lifted {
    fingerprint: String,
    nodes: usize,
}

impl Report for Lifted {
    fn text(&self) -> String {
        format!(
            "{} is lifted at {} nodes, which pass it on to the others\n",
            self.fingerprint, self.nodes
        )
    }
}

fn lift(target: &Target, json: bool, service: &str, fingerprint: &str) -> Result<(), CliError> {
    let path = format!("/quarantine/lift/{service}/{fingerprint}");
    let lifted = target.nodes()?.iter().filter(|node| nodes::post(**node, &path).is_ok()).count();
    if lifted == 0 {
        return Err(CliError::NotQuarantined(fingerprint.into()));
    }
    print(json, &Lifted { fingerprint: fingerprint.into(), nodes: lifted })
}
