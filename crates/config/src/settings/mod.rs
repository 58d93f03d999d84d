//! Settings of the daemon and of the operators' command line, read from INI files.
//!
//! All problems of a file are collected and reported together.

mod bounds;
mod error;
mod node;
mod operator;
mod reader;

pub use bounds::Bounds;
pub use error::{SettingsError, SettingsProblem};
pub use node::{AdmissionMode, NodeSettings, ZoneSeeds};
pub use operator::OperatorSettings;
