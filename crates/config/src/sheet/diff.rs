//! Comparison of two configurations, row by row.

use std::collections::BTreeMap;

use snipehollow_core::class::{ClassPolicy, Repeat};
use snipehollow_core::{data_type, key_type};

use crate::model::{GlobalSection, Section, ServiceSection, VirtualHostSection};

key_type! {
    /// Kind of difference between two configurations in one row.
    pub enum RowChangeKind {
        /// The row exists only in the newer configuration.
        Added,
        /// The row exists in both configurations with different values.
        Changed,
        /// The row exists only in the older configuration.
        Removed,
    }
}

data_type! {
    /// A row that differs between two configurations.
    pub struct RowChange {
        /// Kind of the difference.
        pub kind: RowChangeKind,
        /// Name of the row: its kind and what identifies it, for example `class quote`.
        pub row: String,
        /// Values in the older configuration; `None` if the row was added.
        pub before: Option<String>,
        /// Values in the newer configuration; `None` if the row was removed.
        pub after: Option<String>,
    }
}

/// Returns the rows that differ between two sets of sections, sorted by name.
///
/// ```
/// use snipehollow_config::sheet::{Sheet, diff_sections};
///
/// let text = "kind,name,rank,deadline_ms,repeat\nclass,quote,0,500,may-repeat\n";
/// let sections = Sheet::parse(text).unwrap().sections();
/// assert_eq!(diff_sections(&[], &sections).len(), 1);
/// assert!(diff_sections(&sections, &sections).is_empty());
/// ```
pub fn diff_sections(before: &[Section], after: &[Section]) -> Vec<RowChange> {
    let before = rows(before);
    let after = rows(after);
    let mut names: Vec<&String> = before.keys().chain(after.keys()).collect();
    names.sort_unstable();
    names.dedup();
    names
        .into_iter()
        .filter_map(|name| row_change(name, before.get(name), after.get(name)))
        .collect()
}

fn row_change(name: &str, before: Option<&String>, after: Option<&String>) -> Option<RowChange> {
    let kind = match (before, after) {
        (None, Some(_)) => RowChangeKind::Added,
        (Some(_), None) => RowChangeKind::Removed,
        (Some(before), Some(after)) if before != after => RowChangeKind::Changed,
        _ => return None,
    };
    Some(RowChange { kind, row: name.into(), before: before.cloned(), after: after.cloned() })
}

fn rows(sections: &[Section]) -> BTreeMap<String, String> {
    let mut rows = BTreeMap::new();
    for section in sections {
        match section {
            Section::Global(global) => add_global(global, &mut rows),
            Section::Service(service) => add_service(service, &mut rows),
            Section::VirtualHost(host) => add_virtual_host(host, &mut rows),
        }
    }
    rows
}

fn add_global(global: &GlobalSection, rows: &mut BTreeMap<String, String>) {
    for class in &global.classes {
        rows.insert(format!("class {}", class.name), class_values(class));
    }
    for link in &global.links {
        let values = format!("{} bytes/s", link.bytes_per_second);
        rows.insert(format!("link {} {}", link.from, link.to), values);
    }
    for stop in &global.stops {
        let name = |name: Option<&str>| name.unwrap_or("any").to_owned();
        let row = format!(
            "stop host {} zone {} service {} starts {}",
            name(stop.host.as_ref().map(|n| n.as_str())),
            name(stop.zone.as_ref().map(|n| n.as_str())),
            name(stop.service.as_ref().map(|n| n.as_str())),
            stop.starts
        );
        rows.insert(row, format!("ends {}", stop.ends));
    }
}

fn add_virtual_host(section: &VirtualHostSection, rows: &mut BTreeMap<String, String>) {
    for route in &section.routes {
        let targets: Vec<String> =
            route.targets.iter().map(|t| format!("{} {}", t.service, t.weight)).collect();
        let values = format!("{} to {}", class_values(&route.policy), targets.join(", "));
        rows.insert(format!("route {}{}", section.host, route.path_prefix), values);
    }
}

fn class_values(class: &ClassPolicy) -> String {
    let repeat = match class.repeat {
        Repeat::Idempotent => "may-repeat",
        Repeat::Never => "never",
        Repeat::OncePerAttempt => "once-per-attempt",
    };
    let rate = match &class.rate_limit {
        Some(rate) => format!("{}/s burst {}", rate.per_second, rate.burst),
        None => "none".into(),
    };
    format!(
        "rank {} deadline {} ms worth {} repeat {repeat} retries {} rate {rate}",
        class.rank.0, class.deadline_ms, class.worth, class.retry_allowance
    )
}

fn add_service(service: &ServiceSection, rows: &mut BTreeMap<String, String>) {
    let refusals = format!("refusals {:?}", service.refusals).to_lowercase();
    rows.insert(format!("service {}", service.service), refusals);
    for rule in &service.rules {
        let row = format!("rule {} {} {}", rule.service, rule.method, rule.path_prefix);
        rows.insert(row, format!("class {}", rule.class));
    }
}
