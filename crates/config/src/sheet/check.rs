//! Checks that involve more than one row of a sheet.

use std::fmt::Display;
use std::hash::Hash;

use snipehollow_core::collections::FastMap;
use snipehollow_core::data_type;
use snipehollow_core::ids::{HostName, ServiceName, ZoneName};

use super::error::{Problem, SheetError, SheetProblem};
use super::parse::Sheet;
use crate::model::PlannedStop;

/// A value and the row that it was read from.
#[derive(Clone, Debug)]
pub(super) struct WithRow<T> {
    pub(super) row: u64,
    pub(super) value: T,
}

data_type! {
    /// A host that currently runs a service.
    pub struct InventoryHost {
        /// Name of the host.
        pub host: HostName,
        /// Availability zone of the host.
        pub zone: ZoneName,
        /// Service that the host runs.
        pub service: ServiceName,
    }
}

/// Checks for duplicate names, references to unknown classes and services, services without a
/// default rule, and stops of an entire service.
pub(super) fn check_references(sheet: &Sheet, problems: &mut Vec<SheetProblem>) {
    check_unique(problems, "name", sheet.classes.iter().map(|c| (c.row, &c.value.name)));
    check_unique(problems, "name", sheet.services.iter().map(|s| (s.row, &s.value.0)));
    let rules = sheet.rules.iter().map(|r| {
        (r.row, format!("{} {} {}", r.value.service, r.value.method, r.value.path_prefix))
    });
    check_unique(problems, "path", rules);
    let links = sheet.links.iter().map(|l| (l.row, format!("{} {}", l.value.from, l.value.to)));
    check_unique(problems, "from", links);
    check_rules(sheet, problems);
    check_default_rules(sheet, problems);
    for stop in &sheet.stops {
        check_stop(sheet, stop, problems);
    }
}

fn check_unique<K: Display + Eq + Hash>(
    problems: &mut Vec<SheetProblem>,
    column: &str,
    keys: impl Iterator<Item = (u64, K)>,
) {
    let mut seen: FastMap<K, u64> = FastMap::default();
    for (row, key) in keys {
        if let Some(first) = seen.get(&key) {
            let problem = Problem::Duplicate { value: key.to_string(), row: *first };
            problems.push(SheetProblem { row, column: column.into(), problem });
            continue;
        }
        seen.insert(key, row);
    }
}

fn check_rules(sheet: &Sheet, problems: &mut Vec<SheetProblem>) {
    for rule in &sheet.rules {
        let (row, rule) = (rule.row, &rule.value);
        if !sheet.classes.iter().any(|class| class.value.name == rule.class) {
            let problem = Problem::UnknownClass(rule.class.to_string());
            problems.push(SheetProblem { row, column: "class".into(), problem });
        }
        check_service(sheet, row, &rule.service, problems);
    }
}

fn check_service(sheet: &Sheet, row: u64, service: &ServiceName, problems: &mut Vec<SheetProblem>) {
    if !sheet.services.iter().any(|s| s.value.0 == *service) {
        let problem = Problem::UnknownService(service.to_string());
        problems.push(SheetProblem { row, column: "service".into(), problem });
    }
}

fn check_default_rules(sheet: &Sheet, problems: &mut Vec<SheetProblem>) {
    for service in &sheet.services {
        let has_default = sheet.rules.iter().any(|rule| {
            rule.value.service == service.value.0
                && rule.value.path_prefix == "/"
                && rule.value.method == "*"
        });
        if !has_default {
            let problem = Problem::NoDefaultRule;
            problems.push(SheetProblem { row: service.row, column: "name".into(), problem });
        }
    }
}

fn check_stop(sheet: &Sheet, stop: &WithRow<PlannedStop>, problems: &mut Vec<SheetProblem>) {
    let Some(service) = &stop.value.service else {
        return;
    };
    check_service(sheet, stop.row, service, problems);
    if stop.value.host.is_none() && stop.value.zone.is_none() {
        let problem =
            Problem::StopsWholeService { service: service.to_string(), rows: String::new() };
        problems.push(SheetProblem { row: stop.row, column: "service".into(), problem });
    }
}

/// Checks that the planned stops of a sheet leave at least one host of every service at any time.
///
/// It is sufficient to check the moments at which a stop starts: the set of stopped hosts grows
/// only then.
///
/// # Errors
///
/// Returns a problem with the rows of the stops for each service that would have no host.
pub fn check_stops(sheet: &Sheet, inventory: &[InventoryHost]) -> Result<(), SheetError> {
    let mut problems: Vec<SheetProblem> = Vec::new();
    let mut services: Vec<&ServiceName> = inventory.iter().map(|host| &host.service).collect();
    services.sort_unstable();
    services.dedup();
    for unix_seconds in sheet.stops.iter().map(|stop| stop.value.starts) {
        for service in &services {
            let problem = find_whole_service_stop(sheet, inventory, service, unix_seconds);
            problems.extend(problem.filter(|p| !problems.contains(p)));
        }
    }
    if problems.is_empty() { Ok(()) } else { Err(SheetError { problems }) }
}

/// Returns a problem if the active stops cover every host of a service at a Unix time, in seconds.
fn find_whole_service_stop(
    sheet: &Sheet,
    inventory: &[InventoryHost],
    service: &ServiceName,
    unix_seconds: u64,
) -> Option<SheetProblem> {
    let active: Vec<&WithRow<PlannedStop>> =
        sheet.stops.iter().filter(|stop| stop.value.is_active(unix_seconds)).collect();
    let mut rows: Vec<u64> = Vec::new();
    for host in inventory.iter().filter(|host| host.service == *service) {
        let stop = active
            .iter()
            .find(|stop| stop.value.matches(&host.host, &host.zone, Some(&host.service)))?;
        rows.push(stop.row);
    }
    rows.sort_unstable();
    rows.dedup();
    let (last, others) = rows.split_last()?;
    let others: Vec<String> = others.iter().map(u64::to_string).collect();
    let problem =
        Problem::StopsWholeService { service: service.to_string(), rows: others.join(", ") };
    Some(SheetProblem { row: *last, column: "starts".into(), problem })
}
