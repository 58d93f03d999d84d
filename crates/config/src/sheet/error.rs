//! Errors in a sheet.

use displaydoc::Display;

/// Problem of one field or column.
#[derive(Clone, Debug, Display, PartialEq, Eq)]
pub enum Problem {
    /// cannot read the sheet as CSV: {0}
    Unreadable(String),
    /// the column is not known; expected one of: {0}
    UnknownColumn(String),
    /// the column is missing
    MissingColumn,
    /// the column name occurs more than once
    DuplicateColumn,
    /// "{0}" is not a kind of row; expected one of: service, class, rule, link, stop
    UnknownKind(String),
    /// the field is empty; expected {0}
    Empty(&'static str),
    /// a row of this kind does not use the column, but the field contains "{0}"
    Unexpected(String),
    /// "{value}" is not valid; expected {expected}
    BadValue {
        /// Value in the sheet.
        value: String,
        /// Description of a valid value.
        expected: &'static str,
    },
    /// "{value}" already occurs in row {row}
    Duplicate {
        /// Value that occurs twice.
        value: String,
        /// Row of the first occurrence.
        row: u64,
    },
    /// the sheet has no class named "{0}"
    UnknownClass(String),
    /// the sheet has no service named "{0}"
    UnknownService(String),
    /// the service has no rule with method "*" and path "/", so some requests would have no class
    NoDefaultRule,
    /// the stop must end after it starts
    EndsBeforeStart,
    /// this stop and those in rows {rows} leave no host of service {service}
    StopsWholeService {
        /// Service that would have no host.
        service: String,
        /// Rows of the other stops, separated by commas.
        rows: String,
    },
}

/// A problem and its location in the sheet.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SheetProblem {
    /// Line number in the file, starting from 1.
    pub row: u64,
    /// Name of the column.
    pub column: String,
    /// Problem at this location.
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
    /// Problems, sorted by row.
    pub problems: Vec<SheetProblem>,
}

impl std::fmt::Display for SheetError {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        let lines: Vec<String> = self.problems.iter().map(ToString::to_string).collect();
        f.write_str(&lines.join("\n"))
    }
}

impl std::error::Error for SheetError {}
