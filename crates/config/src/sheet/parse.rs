//! Reads a sheet.

use snipehollow_core::class::{ClassPolicy, ClassRule, Rank, RateLimit, Repeat};
use snipehollow_core::ids::{ClassName, HostName, RegionName, ServiceName, ZoneName};
use snipehollow_core::outcome::RefusalTrust;

use super::check::{self, Placed};
use super::columns::{Columns, Row};
use super::error::{Problem, SheetError, SheetProblem};
use crate::model::{GlobalSection, LinkBudgetRow, PlannedStop, Section, ServiceSection};

const NAME: &str = "1 to 128 letters, digits, '-', '_', '.' or ':'";
const BYTES_PER_MBIT: f64 = 125_000.0;
const MAX_RETRIES: u16 = 64;

/// A checked sheet.
#[derive(Clone, Debug, Default)]
pub struct Sheet {
    pub(super) classes: Vec<Placed<ClassPolicy>>,
    pub(super) services: Vec<Placed<(ServiceName, RefusalTrust)>>,
    pub(super) rules: Vec<Placed<ClassRule>>,
    pub(super) links: Vec<Placed<LinkBudgetRow>>,
    pub(super) stops: Vec<Placed<PlannedStop>>,
}

impl Sheet {
    /// Reads and checks a sheet.
    ///
    /// Errors: every problem of the sheet, by row and column.
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

    /// Returns the sections that the sheet stands for.
    pub fn sections(&self) -> Vec<Section> {
        let global = GlobalSection {
            classes: values(&self.classes),
            links: values(&self.links),
            stops: values(&self.stops),
            caller_limits: None,
        };
        let mut sections = vec![Section::Global(global)];
        sections.extend(self.services.iter().map(|placed| self.service_section(&placed.value)));
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

fn values<T: Clone>(placed: &[Placed<T>]) -> Vec<T> {
    placed.iter().map(|p| p.value.clone()).collect()
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

/// Finds the separator in the first line: a comma or a semicolon.
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

fn push<T>(rows: &mut Vec<Placed<T>>, row: u64, value: Option<T>) {
    rows.extend(value.map(|value| Placed { row, value }));
}

fn read_service(row: &mut Row<'_>) -> Option<(ServiceName, RefusalTrust)> {
    row.only(&["name", "refusals"]);
    let name = row.required("name", NAME, |text| ServiceName::new(text).ok());
    let refusals = row.optional("refusals", "trusted or untrusted", |text| match text {
        "trusted" => Some(RefusalTrust::Trusted),
        "untrusted" => Some(RefusalTrust::Untrusted),
        _ => None,
    });
    Some((name?, refusals.unwrap_or(RefusalTrust::Untrusted)))
}

fn read_class(row: &mut Row<'_>) -> Option<ClassPolicy> {
    row.only(&["name", "rank", "deadline_ms", "worth", "repeat", "retries", "rate_per_s", "burst"]);
    let name = row.required("name", NAME, |text| ClassName::new(text).ok());
    let rank = row.required("rank", "0 (most urgent) to 254", |text| {
        text.parse::<u8>().ok().filter(|rank| *rank < u8::MAX)
    });
    let deadline = row.required("deadline_ms", "1 to 3600000", |text| {
        text.parse::<u32>().ok().filter(|ms| (1..=3_600_000).contains(ms))
    });
    let worth = row.optional("worth", "1 to 1000000", |text| {
        text.parse::<u32>().ok().filter(|worth| (1..=1_000_000).contains(worth))
    });
    let repeat = row.required("repeat", "may-repeat or never", |text| match text {
        "may-repeat" => Some(Repeat::Idempotent),
        "never" => Some(Repeat::Never),
        "once-per-attempt" => Some(Repeat::OncePerAttempt),
        _ => None,
    });
    let retries = row.optional("retries", "0 to 64", |text| {
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
    let per_second = row.optional("rate_per_s", "a whole number above 0", positive);
    let burst = row.optional("burst", "a whole number above 0", positive);
    if per_second.is_none() && burst.is_some() {
        row.report("rate_per_s", Problem::Empty("a rate, because burst is filled"));
    }
    let per_second = per_second?;
    Some(RateLimit { per_second, burst: burst.unwrap_or(per_second) })
}

fn read_rule(row: &mut Row<'_>) -> Option<ClassRule> {
    row.only(&["service", "method", "path", "class"]);
    let service = row.required("service", NAME, |text| ServiceName::new(text).ok());
    let method = row.required("method", "an HTTP method or *", |text| {
        let valid = text == "*" || text.bytes().all(|b| b.is_ascii_alphabetic());
        valid.then(|| text.to_ascii_uppercase())
    });
    let path = row.required("path", "a path that begins with /", |text| {
        text.starts_with('/').then(|| text.to_owned())
    });
    let class = row.required("class", NAME, |text| ClassName::new(text).ok());
    Some(ClassRule { service: service?, method: method?, path_prefix: path?, class: class? })
}

fn read_link(row: &mut Row<'_>) -> Option<LinkBudgetRow> {
    row.only(&["from", "to", "mbit_s"]);
    let from = row.required("from", NAME, |text| RegionName::new(text).ok());
    let to = row.required("to", NAME, |text| RegionName::new(text).ok());
    let bytes = row.required("mbit_s", "a number above 0, at most 100000", |text| {
        let mbit = text.replace(',', ".").parse::<f64>().ok()?;
        (mbit > 0.0 && mbit <= 100_000.0).then_some((mbit * BYTES_PER_MBIT) as u64)
    });
    Some(LinkBudgetRow { from: from?, to: to?, bytes_per_second: bytes? })
}

fn read_stop(row: &mut Row<'_>) -> Option<PlannedStop> {
    row.only(&["host", "zone", "service", "starts", "ends"]);
    let time = "a UTC time, as 2026-12-04T20:00:00Z";
    let host = row.optional("host", NAME, |text| HostName::new(text).ok());
    let zone = row.optional("zone", NAME, |text| ZoneName::new(text).ok());
    let service = row.optional("service", NAME, |text| ServiceName::new(text).ok());
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
