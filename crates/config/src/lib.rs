//! Settings of a process, the operators' sheet, and the configuration built from the sheet.
//!
//! - [`settings`]: INI files of the daemon and of the command line. Unknown keys are errors.
//! - [`sheet`]: CSV file that operators export. Each error gives its row and column.
//! - [`model`]: sections of the configuration, their revisions, and the configuration in force
//!   at a node, whose revision never decreases.

pub mod model;
pub mod settings;
pub mod sheet;
