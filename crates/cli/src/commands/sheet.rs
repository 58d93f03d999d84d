//! Commands `snipehollow sheet check`, `diff` and `apply`.

use std::net::SocketAddr;
use std::path::Path;
use std::process::ExitCode;
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use serde::Serialize;
use snipehollow_config::model::Section;
use snipehollow_config::sheet::{RowChange, RowChangeKind, Sheet, check_stops, diff_sections};
use snipehollow_store::{Commit, CommitError, commit_sections, load_config};

use super::config::sections_of;
use crate::args::SheetCommand;
use crate::error::CliError;
use crate::nodes;
use crate::output::{Report, print};
use crate::target::Target;

/// Exit code if the revision is not in force at all nodes when `--wait` ends.
const EXIT_WAIT_TIMEOUT: u8 = 5;
/// Interval at which `--wait` queries the revisions of the nodes.
const WAIT_POLL_INTERVAL: Duration = Duration::from_millis(100);

pub(super) fn run(
    target: &Target,
    json: bool,
    command: &SheetCommand,
) -> Result<ExitCode, CliError> {
    match command {
        SheetCommand::Check { file } => check(target, json, file)?,
        SheetCommand::Diff { file } => diff(target, json, file)?,
        SheetCommand::Apply { file, base, wait, author } => {
            return apply(target, json, file, *base, *wait, author);
        }
    }
    Ok(ExitCode::SUCCESS)
}

/// Reads and checks a sheet. Its planned stops are checked against the hosts that serve now.
fn read_sheet(target: &Target, file: &Path) -> Result<Vec<Section>, CliError> {
    let name = file.display().to_string();
    let text = std::fs::read_to_string(file)
        .map_err(|cause| CliError::File { file: name.clone(), cause })?;
    let sheet =
        Sheet::parse(&text).map_err(|cause| CliError::Sheet { file: name.clone(), cause })?;
    let inventory = nodes::inventory(&nodes::states(target.nodes_or_empty()));
    check_stops(&sheet, &inventory).map_err(|cause| CliError::Sheet { file: name, cause })?;
    Ok(sheet.sections())
}

#[derive(Serialize)]
struct Checked {
    valid: bool,
    sections: usize,
}

impl Report for Checked {
    fn text(&self) -> String {
        format!("the sheet is valid: {} sections\n", self.sections)
    }
}

fn check(target: &Target, json: bool, file: &Path) -> Result<(), CliError> {
    let sections = read_sheet(target, file)?.len();
    print(json, &Checked { valid: true, sections })
}

#[derive(Serialize)]
struct Diff {
    base: u64,
    changes: Vec<RowChange>,
}

impl Report for Diff {
    fn text(&self) -> String {
        let mut text = format!("against revision {}: {} rows\n", self.base, self.changes.len());
        for change in &self.changes {
            text.push_str(&change_text(change));
        }
        text
    }
}

fn change_text(change: &RowChange) -> String {
    let before = change.before.as_deref().unwrap_or("");
    let after = change.after.as_deref().unwrap_or("");
    match change.kind {
        RowChangeKind::Added => format!("+ {}: {after}\n", change.row),
        RowChangeKind::Removed => format!("- {}: {before}\n", change.row),
        RowChangeKind::Changed => format!("~ {}: {before} -> {after}\n", change.row),
    }
}

fn diff(target: &Target, json: bool, file: &Path) -> Result<(), CliError> {
    let sections = read_sheet(target, file)?;
    print(json, &diff_against_store(target, &sections)?)
}

fn diff_against_store(target: &Target, sections: &[Section]) -> Result<Diff, CliError> {
    let state = load_config(&target.store()?)?;
    let changes = diff_sections(&sections_of(&state), sections);
    Ok(Diff { base: state.revision(), changes })
}

#[derive(Serialize)]
struct Applied {
    revision: u64,
    changed: bool,
    nodes_asked: usize,
    nodes_in_force: usize,
    waited_ms: u64,
}

impl Report for Applied {
    fn text(&self) -> String {
        let result = if self.changed { "committed" } else { "unchanged" };
        let mut text = format!("revision {}: {result}\n", self.revision);
        if self.nodes_asked > 0 {
            text.push_str(&format!(
                "in force at {} of {} nodes after {} ms\n",
                self.nodes_in_force, self.nodes_asked, self.waited_ms
            ));
        }
        text
    }
}

fn apply(
    target: &Target,
    json: bool,
    file: &Path,
    base: Option<u64>,
    wait: Option<u64>,
    author: &str,
) -> Result<ExitCode, CliError> {
    let sections = read_sheet(target, file)?;
    let committed = commit(target, &sections, base, author);
    if let Err(CliError::Commit(CommitError::Conflict { .. })) = &committed {
        // Shows how the revision that won the conflict differs from the sheet.
        let diff = diff_against_store(target, &sections)?;
        eprint!("{}", diff.text());
    }
    let (revision, changed) = committed?;
    let addrs = target.nodes_or_empty();
    let (in_force, waited) = wait_until_in_force(addrs, revision, wait.unwrap_or(0));
    let applied = Applied {
        revision,
        changed,
        nodes_asked: addrs.len(),
        nodes_in_force: in_force,
        waited_ms: waited.as_millis() as u64,
    };
    print(json, &applied)?;
    let is_complete = wait.is_none() || in_force == addrs.len();
    Ok(if is_complete { ExitCode::SUCCESS } else { ExitCode::from(EXIT_WAIT_TIMEOUT) })
}

fn commit(
    target: &Target,
    sections: &[Section],
    base: Option<u64>,
    author: &str,
) -> Result<(u64, bool), CliError> {
    let store = target.store()?;
    let states = nodes::states(target.nodes()?);
    if states.is_empty() {
        // Only the nodes' revisions show whether the store was restored from an old backup.
        return Err(CliError::NoNodeResponded);
    }
    let fleet_revision = states.iter().map(|(_, state)| state.revision).max().unwrap_or(0);
    let change_id = format!("{:016x}", getrandom::u64().map_err(CliError::Random)?);
    let at = SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |time| time.as_secs());
    let commit = Commit { sections, author, change_id: &change_id, at, base, fleet_revision };
    match commit_sections(&store, &commit)? {
        Some(head) => Ok((head.revision, true)),
        None => Ok((load_config(&store)?.revision(), false)),
    }
}

/// Waits until a revision is in force at all nodes, for at most `seconds`.
///
/// Returns the number of nodes where it is in force, and the time waited.
fn wait_until_in_force(addrs: &[SocketAddr], revision: u64, seconds: u64) -> (usize, Duration) {
    let started = Instant::now();
    let limit = Duration::from_secs(seconds);
    loop {
        let states = nodes::states(addrs);
        let in_force = states.iter().filter(|(_, state)| state.revision >= revision).count();
        if in_force == addrs.len() || started.elapsed() >= limit {
            return (in_force, started.elapsed());
        }
        thread::sleep(WAIT_POLL_INTERVAL);
    }
}
