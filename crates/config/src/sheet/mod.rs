//! The operators' sheet: a CSV file with one typed row a line.
//!
//! The first line names the columns, in any order. The column `kind` tells what a row is:
//!
//! | kind | columns |
//! | --- | --- |
//! | `service` | `name`, `refusals` (`trusted` or `untrusted`) |
//! | `class` | `name`, `rank`, `deadline_ms`, `worth`, `repeat` (`may-repeat` or `never`), `retries`, `rate_per_s`, `burst` |
//! | `rule` | `service`, `method` (or `*`), `path`, `class` |
//! | `link` | `from`, `to`, `mbit_s` |
//! | `stop` | any of `host`, `zone`, `service`; `starts`, `ends` (UTC, as `2026-12-04T20:00:00Z`) |
//!
//! A byte order mark, CRLF, quoted fields and semicolons as separators are read. All
//! problems of a sheet are reported at once, and nothing of a bad sheet is used.

mod check;
mod columns;
mod diff;
mod error;
mod parse;

pub use check::{InventoryHost, check_stops};
pub use diff::{RowChange, RowChangeKind, diff_sections};
pub use error::{Problem, SheetError, SheetProblem};
pub use parse::Sheet;
