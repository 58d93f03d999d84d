//! Columns of a sheet, and access to the fields of a row.

use csv::StringRecord;

use super::error::{Problem, SheetProblem};

/// Names of all known columns.
pub(super) const COLUMNS: &[&str] = &[
    "kind",
    "name",
    "rank",
    "deadline_ms",
    "worth",
    "repeat",
    "retries",
    "rate_per_s",
    "burst",
    "service",
    "method",
    "path",
    "class",
    "refusals",
    "from",
    "to",
    "mbit_s",
    "host",
    "zone",
    "starts",
    "ends",
];

/// Names of the columns, in the order in which the file has them.
pub(super) struct Columns {
    names: Vec<String>,
}

impl Columns {
    pub(super) fn new(header: &StringRecord, problems: &mut Vec<SheetProblem>) -> Columns {
        let names: Vec<String> = header.iter().map(|name| name.trim().to_lowercase()).collect();
        let mut report = |column: &str, problem| {
            problems.push(SheetProblem { row: 1, column: column.into(), problem });
        };
        for (i, name) in names.iter().enumerate() {
            if !name.is_empty() && !COLUMNS.contains(&name.as_str()) {
                report(name, Problem::UnknownColumn(COLUMNS.join(", ")));
            }
            if !name.is_empty() && names[..i].contains(name) {
                report(name, Problem::DuplicateColumn);
            }
        }
        if !names.iter().any(|name| name == "kind") {
            report("kind", Problem::MissingColumn);
        }
        Columns { names }
    }
}

/// A row of a sheet. Problems found while reading it are collected.
pub(super) struct Row<'a> {
    pub(super) number: u64,
    columns: &'a Columns,
    record: &'a StringRecord,
    problems: &'a mut Vec<SheetProblem>,
}

impl<'a> Row<'a> {
    pub(super) fn new(
        number: u64,
        columns: &'a Columns,
        record: &'a StringRecord,
        problems: &'a mut Vec<SheetProblem>,
    ) -> Row<'a> {
        Row { number, columns, record, problems }
    }

    pub(super) fn report(&mut self, column: &str, problem: Problem) {
        self.problems.push(SheetProblem { row: self.number, column: column.into(), problem });
    }

    /// Returns a field without surrounding white space; empty if the column or field is missing.
    pub(super) fn text(&self, column: &str) -> &'a str {
        let index = self.columns.names.iter().position(|name| name == column);
        index.and_then(|index| self.record.get(index)).unwrap_or("").trim()
    }

    pub(super) fn is_blank(&self) -> bool {
        self.record.iter().all(|field| field.trim().is_empty())
    }

    /// Reports all non-empty fields outside the columns that a row of this kind uses.
    pub(super) fn reject_other_columns(&mut self, used: &[&str]) {
        for (i, name) in self.columns.names.iter().enumerate() {
            let field = self.record.get(i).unwrap_or("").trim();
            if !field.is_empty() && name != "kind" && !used.contains(&name.as_str()) {
                let problem = Problem::Unexpected(field.into());
                self.report(name, problem);
            }
        }
    }

    /// Reads an optional field. Returns `None` if it is empty, or invalid and reported.
    pub(super) fn optional<T>(
        &mut self,
        column: &str,
        expected: &'static str,
        parse: impl FnOnce(&str) -> Option<T>,
    ) -> Option<T> {
        let text = self.text(column);
        if text.is_empty() {
            return None;
        }
        let parsed = parse(text);
        if parsed.is_none() {
            self.report(column, Problem::BadValue { value: text.into(), expected });
        }
        parsed
    }

    /// Reads a mandatory field. Returns `None` after reporting that it is empty or invalid.
    pub(super) fn required<T>(
        &mut self,
        column: &str,
        expected: &'static str,
        parse: impl FnOnce(&str) -> Option<T>,
    ) -> Option<T> {
        if self.text(column).is_empty() {
            self.report(column, Problem::Empty(expected));
            return None;
        }
        self.optional(column, expected, parse)
    }
}
