//! Errors of a sheet.

use displaydoc::Display;

/// What is wrong with one field.
#[derive(Clone, Debug, Display, PartialEq, Eq)]
pub enum Problem {
    /// the sheet cannot be read as CSV: {0}
    Unreadable(String),
    /// the column is not known; allowed: {0}
    UnknownColumn(String),
    /// the column is missing
    MissingColumn,
    /// the column is named twice
    DuplicateColumn,
    /// "{0}" is not a kind of row; allowed: service, class, rule, link, stop
    UnknownKind(String),
    /// the field is empty; expected {0}
    Empty(&'static str),
    /// the field must be empty in a row of this kind, but is "{0}"
    Unexpected(String),
    /// "{value}" is not valid; expected {expected}
    BadValue {
        /// The value.
        value: String,
        /// What it should be.
        expected: &'static str,
    },
    /// "{value}" stands already in row {row}
    Duplicate {
        /// The value.
        value: String,
        /// Row of the first one.
        row: u64,
    },
    /// "{0}" is not the name of a class in the sheet
    UnknownClass(String),
    /// "{0}" is not the name of a service in the sheet
    UnknownService(String),
    /// the service has no rule with path "/", so some of its requests have no class
    NoDefaultRule,
    /// the stop ends before it starts
    EndsBeforeStart,
    /// this stop and those in rows {rows} leave no host of service {service}
    StopsWholeService {
        /// The service.
        service: String,
        /// Rows of the other stops, separated by commas.
        rows: String,
    },
}

/// One problem and its place.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SheetProblem {
    /// Line of the file, from 1.
    pub row: u64,
    /// Name of the column.
    pub column: String,
    /// What is wrong.
    pub problem: Problem,
}

impl std::fmt::Display for SheetProblem {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "row {}, column {}: {}", self.row, self.column, self.problem)
    }
}

/// All problems of one sheet.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SheetError {
    /// The problems, by row.
    pub problems: Vec<SheetProblem>,
}

impl std::fmt::Display for SheetError {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        let lines: Vec<String> = self.problems.iter().map(ToString::to_string).collect();
        f.write_str(&lines.join("\n"))
    }
}

impl std::error::Error for SheetError {}
