//! Entry points shared by the programs that run a node.

use std::path::Path;
use std::process::ExitCode;

use snipehollow_config::settings::NodeSettings;

use crate::adapters::Adapters;
use crate::{Node, NodeError, start_logging};

/// Exit code for invalid settings.
const EXIT_SETTINGS: u8 = 2;
/// Exit code for a failure at run time.
const EXIT_FAILURE: u8 = 1;

/// Loads the settings of a node.
///
/// If they are invalid, prints every problem to standard error and returns the exit code.
pub fn load_settings(path: &Path) -> Result<NodeSettings, ExitCode> {
    NodeSettings::load(path).map_err(|err| {
        eprintln!("{err}");
        ExitCode::from(EXIT_SETTINGS)
    })
}

/// Runs a node with these adapters until it is stopped, and returns the exit code.
pub fn run_node(settings: NodeSettings, adapters: Adapters) -> ExitCode {
    match run(settings, adapters) {
        Ok(()) => ExitCode::SUCCESS,
        Err(err) => {
            eprintln!("snipehollow: {err}");
            ExitCode::from(EXIT_FAILURE)
        }
    }
}

fn run(settings: NodeSettings, adapters: Adapters) -> Result<(), NodeError> {
    start_logging(&settings.log_level, settings.log_lines_per_second)?;
    Node::new(settings, adapters)?.run()
}
