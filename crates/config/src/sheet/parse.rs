//! Parses a sheet.

use snipehollow_core::class::{ClassPolicy, ClassRule, Rank, RateLimit, Repeat};
use snipehollow_core::ids::{ClassName, HostName, RegionName, ServiceName, ZoneName};
use snipehollow_core::outcome::RefusalTrust;

use super::check::{self, WithRow};
use super::columns::{Columns, Row};
use super::error::{Problem, SheetError, SheetProblem};
use crate::model::{GlobalSection, LinkBudgetRow, PlannedStop, Section, ServiceSection};

/// Description of a valid name, for error messages.
const NAME_FORMAT: &str = "1 to 128 letters, digits, '-', '_', '.' or ':'";
const BYTES_PER_MBIT: f64 = 125_000.0;
/// Maximum retry allowance of a class.
const MAX_RETRIES: u16 = 64;

/// A sheet that has passed all checks.
#[derive(Clone, Debug, Default)]
pub struct Sheet {
    pub(super) classes: Vec<WithRow<ClassPolicy>>,
    pub(super) services: Vec<WithRow<(ServiceName, RefusalTrust)>>,
    pub(super) rules: Vec<WithRow<ClassRule>>,
    pub(super) links: Vec<WithRow<LinkBudgetRow>>,
    pub(super) stops: Vec<WithRow<PlannedStop>>,
}

impl Sheet {
    /// Parses and checks a sheet.
    ///
    /// # Errors
    ///
    /// Returns all problems of the sheet, each with its row and column.
    ///
    /// ```
    /// use snipehollow_config::sheet::Sheet;
    ///
    /// let text = "kind,name,rank,deadline_ms,repeat\nclass,quote,urgent,500,may-repeat\n";
    /// let err = Sheet::parse(text).unwrap_err();
    /// assert!(err.to_string().starts_with("row 2, column rank: \"urgent\" is not valid"));
    /// ```
    pub fn parse(text: &str) -> Result<Sheet, SheetError> {
        let text = text.trim_start_matches('\u{feff}');
        let mut problems = Vec::new();
        let mut sheet = Sheet::default();
        read_rows(text, &mut sheet, &mut problems);
        check::check_references(&sheet, &mut problems);
        if problems.is_empty() {
            return Ok(sheet);
        }
        problems.sort_by_key(|problem| problem.row);
        Err(SheetError { problems })
    }

    /// Returns the configuration sections that the sheet describes.
    pub fn sections(&self) -> Vec<Section> {
        let global = GlobalSection {
            classes: values(&self.classes),
            links: values(&self.links),
            stops: values(&self.stops),
            ..GlobalSection::default()
        };
        let mut sections = vec![Section::Global(global)];
        sections.extend(self.services.iter().map(|service| self.service_section(&service.value)));
        sections
    }

    fn service_section(&self, (service, refusals): &(ServiceName, RefusalTrust)) -> Section {
        let rules = self
            .rules
            .iter()
            .map(|r| &r.value)
            .filter(|r| r.service == *service)
            .cloned()
            .collect();
        Section::Service(ServiceSection {
            service: service.clone(),
            refusals: *refusals,
            rules,
            max_connections: None,
            health_path: None,
        })
    }
}

fn values<T: Clone>(rows: &[WithRow<T>]) -> Vec<T> {
    rows.iter().map(|row| row.value.clone()).collect()
}

fn read_rows(text: &str, sheet: &mut Sheet, problems: &mut Vec<SheetProblem>) {
    let mut reader = csv::ReaderBuilder::new()
        .delimiter(delimiter(text))
        .flexible(true)
        .has_headers(false)
        .from_reader(text.as_bytes());
    let mut columns = None;
    for record in reader.records() {
        let record = match record {
            Ok(record) => record,
            Err(err) => {
                let row = err.position().map_or(1, csv::Position::line);
                let problem = Problem::Unreadable(err.to_string());
                problems.push(SheetProblem { row, column: "kind".into(), problem });
                return;
            }
        };
        let number = record.position().map_or(0, csv::Position::line);
        match &columns {
            None => columns = Some(Columns::new(&record, problems)),
            Some(columns) => read_row(Row::new(number, columns, &record, problems), sheet),
        }
    }
    if columns.is_none() {
        let problem = Problem::MissingColumn;
        problems.push(SheetProblem { row: 1, column: "kind".into(), problem });
    }
}

/// Returns the field separator: a comma or a semicolon, whichever is more frequent in the first
/// line.
fn delimiter(text: &str) -> u8 {
    let header = text.lines().next().unwrap_or("");
    let semicolons = header.matches(';').count();
    if semicolons > header.matches(',').count() { b';' } else { b',' }
}

fn read_row(mut row: Row<'_>, sheet: &mut Sheet) {
    if row.is_blank() {
        return;
    }
    let number = row.number;
    match row.text("kind") {
        "service" => push(&mut sheet.services, number, read_service(&mut row)),
        "class" => push(&mut sheet.classes, number, read_class(&mut row)),
        "rule" => push(&mut sheet.rules, number, read_rule(&mut row)),
        "link" => push(&mut sheet.links, number, read_link(&mut row)),
        "stop" => push(&mut sheet.stops, number, read_stop(&mut row)),
        other => row.report("kind", Problem::UnknownKind(other.into())),
    }
}

fn push<T>(rows: &mut Vec<WithRow<T>>, row: u64, value: Option<T>) {
    rows.extend(value.map(|value| WithRow { row, value }));
}

fn read_service(row: &mut Row<'_>) -> Option<(ServiceName, RefusalTrust)> {
    row.reject_other_columns(&["name", "refusals"]);
    let name = row.required("name", NAME_FORMAT, |text| ServiceName::new(text).ok());
    let refusals = row.optional("refusals", "trusted or untrusted", |text| match text {
        "trusted" => Some(RefusalTrust::Trusted),
        "untrusted" => Some(RefusalTrust::Untrusted),
        _ => None,
    });
    Some((name?, refusals.unwrap_or(RefusalTrust::Untrusted)))
}

fn read_class(row: &mut Row<'_>) -> Option<ClassPolicy> {
    row.reject_other_columns(&[
        "name",
        "rank",
        "deadline_ms",
        "worth",
        "repeat",
        "retries",
        "rate_per_s",
        "burst",
    ]);
    let name = row.required("name", NAME_FORMAT, |text| ClassName::new(text).ok());
    let rank = row.required("rank", "an integer from 0 (most urgent) to 254", |text| {
        text.parse::<u8>().ok().filter(|rank| *rank < u8::MAX)
    });
    let deadline = row.required("deadline_ms", "an integer from 1 to 3600000", |text| {
        text.parse::<u32>().ok().filter(|ms| (1..=3_600_000).contains(ms))
    });
    let worth = row.optional("worth", "an integer from 1 to 1000000", |text| {
        text.parse::<u32>().ok().filter(|worth| (1..=1_000_000).contains(worth))
    });
    let repeat =
        row.required("repeat", "may-repeat, never or once-per-attempt", |text| match text {
            "may-repeat" => Some(Repeat::Idempotent),
            "never" => Some(Repeat::Never),
            "once-per-attempt" => Some(Repeat::OncePerAttempt),
            _ => None,
        });
    let retries = row.optional("retries", "an integer from 0 to 64", |text| {
        text.parse::<u16>().ok().filter(|retries| *retries <= MAX_RETRIES)
    });
    let rate_limit = read_rate_limit(row);
    let mut class = ClassPolicy::new(name?, Rank(rank?))
        .with_deadline_ms(deadline?)
        .with_worth(worth.unwrap_or(1))
        .with_repeat(repeat?)
        .with_retry_allowance(retries.unwrap_or(2));
    class.rate_limit = rate_limit;
    Some(class)
}

fn read_rate_limit(row: &mut Row<'_>) -> Option<RateLimit> {
    let positive = |text: &str| text.parse::<u32>().ok().filter(|number| *number > 0);
    let per_second = row.optional("rate_per_s", "an integer greater than 0", positive);
    let burst = row.optional("burst", "an integer greater than 0", positive);
    if per_second.is_none() && burst.is_some() {
        row.report("rate_per_s", Problem::Empty("a rate, because burst is set"));
    }
    let per_second = per_second?;
    Some(RateLimit { per_second, burst: burst.unwrap_or(per_second) })
}

fn read_rule(row: &mut Row<'_>) -> Option<ClassRule> {
    row.reject_other_columns(&["service", "method", "path", "class"]);
    let service = row.required("service", NAME_FORMAT, |text| ServiceName::new(text).ok());
    let method = row.required("method", "an HTTP method or *", |text| {
        let valid = text == "*" || text.bytes().all(|b| b.is_ascii_alphabetic());
        valid.then(|| text.to_ascii_uppercase())
    });
    let path = row.required("path", "a path that starts with /", |text| {
        text.starts_with('/').then(|| text.to_owned())
    });
    let class = row.required("class", NAME_FORMAT, |text| ClassName::new(text).ok());
    Some(ClassRule { service: service?, method: method?, path_prefix: path?, class: class? })
}

fn read_link(row: &mut Row<'_>) -> Option<LinkBudgetRow> {
    row.reject_other_columns(&["from", "to", "mbit_s"]);
    let from = row.required("from", NAME_FORMAT, |text| RegionName::new(text).ok());
    let to = row.required("to", NAME_FORMAT, |text| RegionName::new(text).ok());
    let bytes = row.required("mbit_s", "a number greater than 0 and at most 100000", |text| {
        let mbit = text.replace(',', ".").parse::<f64>().ok()?;
        (mbit > 0.0 && mbit <= 100_000.0).then_some((mbit * BYTES_PER_MBIT) as u64)
    });
    Some(LinkBudgetRow { from: from?, to: to?, bytes_per_second: bytes? })
}

fn read_stop(row: &mut Row<'_>) -> Option<PlannedStop> {
    row.reject_other_columns(&["host", "zone", "service", "starts", "ends"]);
    let time = "a UTC time, for example 2026-12-04T20:00:00Z";
    let host = row.optional("host", NAME_FORMAT, |text| HostName::new(text).ok());
    let zone = row.optional("zone", NAME_FORMAT, |text| ZoneName::new(text).ok());
    let service = row.optional("service", NAME_FORMAT, |text| ServiceName::new(text).ok());
    let starts = row.required("starts", time, unix_seconds);
    let ends = row.required("ends", time, unix_seconds);
    if [row.text("host"), row.text("zone"), row.text("service")].iter().all(|t| t.is_empty()) {
        row.report("host", Problem::Empty("a host, a zone or a service"));
        return None;
    }
    let stop = PlannedStop { host, zone, service, starts: starts?, ends: ends? };
    if stop.ends <= stop.starts {
        row.report("ends", Problem::EndsBeforeStart);
        return None;
    }
    Some(stop)
}

fn unix_seconds(text: &str) -> Option<u64> {
    let time = humantime::parse_rfc3339(text).ok()?;
    time.duration_since(std::time::UNIX_EPOCH).ok().map(|duration| duration.as_secs())
}
