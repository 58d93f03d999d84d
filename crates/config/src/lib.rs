//! Settings of a process, the operators' sheet, and the configuration made from it.
//!
//! - [`settings`]: the INI file of one daemon. Every key is checked.
//! - [`sheet`]: the CSV file that operators export; every error names its row and column.
//! - [`model`]: sections of the configuration, their revisions, and the state in force at a
//!   node, which never goes to a lower revision.

pub mod model;
pub mod settings;
pub mod sheet;
