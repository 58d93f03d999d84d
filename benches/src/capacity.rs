//! Estimated cost of one node at the target size, extrapolated from measured costs per unit.
//!
//! `cargo run -p snipehollow-benches --bin capacity` prints the table in docs/CAPACITY.md, and a
//! test compares the two.

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

/// Measured costs per unit, each from the program named in docs/CAPACITY.md.
mod slope {
    /// Control messages that a node sends per second, requests and responses.
    pub(super) const MESSAGES_PER_SECOND: f64 = 3.42;
    /// Size of a control message without member updates: JSON body and HTTP head.
    pub(super) const MESSAGE_BYTES: f64 = 560.0;
    /// Size of one member update of a live host in a gossip message.
    pub(super) const MEMBER_UPDATE_BYTES: f64 = 330.0;
    /// How often a node sends one member update, for each doubling of the number of members.
    pub(super) const SENDS_PER_DOUBLING: f64 = 2.0;
    /// Bytes that a node sends for one configuration change.
    pub(super) const BYTES_PER_CHANGE: f64 = 1_000.0;
    /// Share of a CPU core used for control, at one configuration change every 1.2 s.
    pub(super) const CONTROL_CORE_SHARE: f64 = 0.003_3;
    /// Resident memory of a node that knows a few dozen members.
    pub(super) const RESIDENT_BYTES: f64 = 9.7e6;
    /// Memory for each further member: its names, host info and table entries.
    pub(super) const MEMBER_BYTES: f64 = 600.0;
    /// Memory for one configuration section, as stored and as parsed.
    pub(super) const SECTION_BYTES: f64 = 1_600.0;
    /// Store calls that the command line makes for one commit.
    pub(super) const STORE_CALLS_PER_COMMIT: f64 = 5.0;
    /// Store calls that one watcher makes for one change.
    pub(super) const STORE_CALLS_PER_WATCHER: f64 = 1.9;
    /// Size of one directory pull that finds nothing changed.
    pub(super) const DIRECTORY_PULL_BYTES: f64 = 700.0;
}

/// Upper bounds for the control of one node at the target size; for the store, of the whole fleet.
mod bound {
    pub(super) const CORE_SHARE: f64 = 0.029;
    pub(super) const MEMORY_BYTES: f64 = 128e6;
    pub(super) const BYTES_PER_SECOND: f64 = 15_000.0;
    pub(super) const STORE_READS_PER_SECOND: f64 = 2_000.0;
}

/// Returns the table in docs/CAPACITY.md, in Markdown.
pub fn table() -> String {
    let members = target::NODES / target::ZONES;
    let changes = target::CHANGES_PER_DAY / target::SECONDS_PER_DAY;
    let events = (target::FAILURES_PER_DAY * 2.0 + target::RESTARTS_PER_DAY * 3.0)
        / target::ZONES
        / target::SECONDS_PER_DAY;
    let sends_per_update = slope::SENDS_PER_DOUBLING * (members.log2().ceil() + 1.0);
    let probes = slope::MESSAGES_PER_SECOND * slope::MESSAGE_BYTES;
    let member_updates = events * sends_per_update * slope::MEMBER_UPDATE_BYTES;
    let config = changes * slope::BYTES_PER_CHANGE;
    // A pull every 5 s from each other zone of the own region (2.3 on average) and every 20 s from
    // each zone of the other regions (6.7).
    let pulls = (2.3 / 5.0 + 6.7 / 20.0) * slope::DIRECTORY_PULL_BYTES;
    let bytes = probes + member_updates + config + pulls;
    let memory = slope::RESIDENT_BYTES
        + members * slope::MEMBER_BYTES
        + target::SERVICES * slope::SECTION_BYTES;
    let watchers = target::ZONES * 2.0;
    let per_change = slope::STORE_CALLS_PER_COMMIT + watchers * slope::STORE_CALLS_PER_WATCHER;
    // In addition, each watcher makes a watch and a read every 10 s even if nothing changes.
    let store = changes * per_change + watchers * 0.2;
    let mut table = String::from("| quantity | at the target | bound |\n| --- | --- | --- |\n");
    let mut row = |name: &str, value: String, bound: String| {
        // Writing to a String cannot fail.
        let _ = writeln!(table, "| {name} | {value} | {bound} |");
    };
    let none = || "none set".to_owned();
    row("members that a node knows", format!("{members:.0}"), none());
    row("calls at a node", format!("{:.0}/s", target::CALLS_PER_SECOND / target::NODES), none());
    row("probes and responses", format!("{probes:.0} B/s"), none());
    row("member updates", format!("{member_updates:.0} B/s"), none());
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
