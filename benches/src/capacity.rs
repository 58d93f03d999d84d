//! Cost of one node at the target size, from measured slopes.
//!
//! `cargo run -p snipehollow-benches --bin capacity` prints the table that docs/CAPACITY.md
//! holds, and a test compares the two.

use std::fmt::Write;

/// Size that the system is designed for.
mod target {
    pub(super) const NODES: f64 = 24_000.0;
    pub(super) const ZONES: f64 = 10.0;
    pub(super) const SERVICES: f64 = 2_800.0;
    pub(super) const CALLS_PER_SECOND: f64 = 2_500_000.0;
    pub(super) const CHANGES_PER_DAY: f64 = 64_000.0;
    pub(super) const SECONDS_PER_DAY: f64 = 86_400.0;
    pub(super) const FAILURES_PER_DAY: f64 = 33.0;
    pub(super) const RESTARTS_PER_DAY: f64 = 3_000.0;
}

/// Slopes, each from the program named in docs/CAPACITY.md.
mod slope {
    /// Messages of a node and second, requests and answers.
    pub(super) const MESSAGES_PER_SECOND: f64 = 3.42;
    /// Bytes of a message without news, as JSON with its heads.
    pub(super) const MESSAGE_BYTES: f64 = 560.0;
    /// Bytes of the news of a live host.
    pub(super) const NEWS_BYTES: f64 = 330.0;
    /// Times that a node sends one piece of news, for each doubling of the members.
    pub(super) const SENDS_PER_DOUBLING: f64 = 2.0;
    /// Bytes that a node sends for one change of the configuration.
    pub(super) const BYTES_PER_CHANGE: f64 = 1_000.0;
    /// Share of a core for control, at one change in 1.2 s.
    pub(super) const CONTROL_CORE_SHARE: f64 = 0.003_3;
    /// Memory of a node that knows a few dozen members.
    pub(super) const RESIDENT_BYTES: f64 = 9.7e6;
    /// Memory of one member: names, facts, tables.
    pub(super) const MEMBER_BYTES: f64 = 600.0;
    /// Memory of one section, stored and parsed.
    pub(super) const SECTION_BYTES: f64 = 1_600.0;
    /// Store calls of one commit by the command line.
    pub(super) const STORE_CALLS_PER_COMMIT: f64 = 5.0;
    /// Store calls of one watcher for one change.
    pub(super) const STORE_CALLS_PER_WATCHER: f64 = 1.9;
    /// Bytes of one directory pull that brings nothing new.
    pub(super) const DIRECTORY_PULL_BYTES: f64 = 700.0;
}

/// Bounds that the target sets for the control of one node.
mod bound {
    pub(super) const CORE_SHARE: f64 = 0.029;
    pub(super) const MEMORY_BYTES: f64 = 128e6;
    pub(super) const BYTES_PER_SECOND: f64 = 15_000.0;
    pub(super) const STORE_READS_PER_SECOND: f64 = 2_000.0;
}

/// Returns the table of docs/CAPACITY.md.
pub fn table() -> String {
    let members = target::NODES / target::ZONES;
    let changes = target::CHANGES_PER_DAY / target::SECONDS_PER_DAY;
    let events = (target::FAILURES_PER_DAY * 2.0 + target::RESTARTS_PER_DAY * 3.0)
        / target::ZONES
        / target::SECONDS_PER_DAY;
    let sends = slope::SENDS_PER_DOUBLING * (members.log2().ceil() + 1.0);
    let probes = slope::MESSAGES_PER_SECOND * slope::MESSAGE_BYTES;
    let news = events * sends * slope::NEWS_BYTES;
    let config = changes * slope::BYTES_PER_CHANGE;
    // Zones of the own region every 5 s, the others every 20 s.
    let pulls = (2.3 / 5.0 + 6.7 / 20.0) * slope::DIRECTORY_PULL_BYTES;
    let bytes = probes + news + config + pulls;
    let memory = slope::RESIDENT_BYTES
        + members * slope::MEMBER_BYTES
        + target::SERVICES * slope::SECTION_BYTES;
    let watchers = target::ZONES * 2.0;
    let per_change = slope::STORE_CALLS_PER_COMMIT + watchers * slope::STORE_CALLS_PER_WATCHER;
    // A watch and a read every 10 s of each watcher, whatever changes.
    let store = changes * per_change + watchers * 0.2;
    let mut table = String::from("| quantity | at the target | bound |\n| --- | --- | --- |\n");
    let mut row = |name: &str, value: String, bound: String| {
        // Writing to a String cannot fail.
        let _ = writeln!(table, "| {name} | {value} | {bound} |");
    };
    let none = || "none set".to_owned();
    row("members that a node knows", format!("{members:.0}"), none());
    row("calls at a node", format!("{:.0}/s", target::CALLS_PER_SECOND / target::NODES), none());
    row("probes and answers", format!("{probes:.0} B/s"), none());
    row("news of members", format!("{news:.0} B/s"), none());
    row("configuration", format!("{config:.0} B/s"), none());
    row("directory pulls", format!("{pulls:.0} B/s"), none());
    row(
        "control bytes sent by a node",
        format!("{bytes:.0} B/s"),
        format!("{:.0} B/s", bound::BYTES_PER_SECOND),
    );
    row(
        "control CPU of a node",
        format!("{:.2}% of a core", slope::CONTROL_CORE_SHARE * 100.0),
        format!("{:.1}%", bound::CORE_SHARE * 100.0),
    );
    row(
        "memory of a node for control",
        format!("{:.1} MB", memory / 1e6),
        format!("{:.0} MB", bound::MEMORY_BYTES / 1e6),
    );
    row(
        "store calls of the fleet",
        format!("{store:.0}/s"),
        format!("{:.0}/s", bound::STORE_READS_PER_SECOND),
    );
    table
}
