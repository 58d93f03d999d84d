//! The operators' sheet: a CSV file in which each row configures one thing.
//!
//! The first line contains the column names, in any order. The column `kind` gives the type of a
//! row, which determines the other columns that the row uses:
//!
//! | kind | columns |
//! | --- | --- |
//! | `service` | `name`, `refusals` (`trusted` or `untrusted`) |
//! | `class` | `name`, `rank`, `deadline_ms`, `worth`, `repeat` (`may-repeat`, `never` or `once-per-attempt`), `retries`, `rate_per_s`, `burst` |
//! | `rule` | `service`, `method` (or `*`), `path`, `class` |
//! | `link` | `from`, `to`, `mbit_s` |
//! | `stop` | at least one of `host`, `zone`, `service`; `starts`, `ends` (UTC, for example `2026-12-04T20:00:00Z`) |
//!
//! The file may have a byte order mark, CRLF line ends, quoted fields, and semicolons as
//! separators. All problems of a sheet are reported together; an invalid sheet is rejected as a
//! whole.

mod check;
mod columns;
mod diff;
mod error;
mod parse;

pub use check::{InventoryHost, check_stops};
pub use diff::{RowChange, RowChangeKind, diff_sections};
pub use error::{Problem, SheetError, SheetProblem};
pub use parse::Sheet;
