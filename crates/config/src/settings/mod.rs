//! Settings of a daemon, read from an INI file.

mod bounds;
mod error;
mod node;
mod operator;
mod reader;

pub use bounds::Bounds;
pub use error::{SettingsError, SettingsProblem};
pub use node::{AdmissionMode, NodeSettings, ZoneSeeds};
pub use operator::OperatorSettings;
