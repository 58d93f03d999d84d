//! What the programs that run a node have in common.

use std::path::Path;
use std::process::ExitCode;

use snipehollow_config::settings::NodeSettings;

use crate::adapters::Adapters;
use crate::{Node, NodeError, start_logging};

/// Exit code for settings that are not valid.
const EXIT_SETTINGS: u8 = 2;
/// Exit code for a failure at run time.
const EXIT_FAILURE: u8 = 1;

/// Reads settings; prints every problem and returns the exit code if they are not valid.
pub fn load_settings(path: &Path) -> Result<NodeSettings, ExitCode> {
    NodeSettings::load(path).map_err(|err| {
        eprintln!("{err}");
        ExitCode::from(EXIT_SETTINGS)
    })
}

/// Runs a node at the given edges until it is stopped.
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
