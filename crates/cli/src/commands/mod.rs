//! Implementation of the subcommands, a module for each group.

mod config;
mod explain;
mod fleet;
mod quarantine;
mod sheet;

use std::process::ExitCode;

use clap::CommandFactory;

use crate::args::{Args, Command};
use crate::error::CliError;
use crate::target::Target;

/// Runs the command given by the arguments and returns its exit code.
pub(crate) fn run(args: Args) -> Result<ExitCode, CliError> {
    let target = Target::new(&args)?;
    let json = args.json;
    match args.command {
        Command::Sheet(command) => return sheet::run(&target, json, &command),
        Command::Config(command) => config::run(&target, json, &command)?,
        Command::Nodes => fleet::nodes(&target, json)?,
        Command::State { host } => fleet::state(&target, json, &host)?,
        Command::Drain { host } => fleet::drain(&target, json, &host)?,
        Command::Explain { request_id } => explain::run(&target, json, &request_id)?,
        Command::Quarantine(command) => quarantine::run(&target, json, &command)?,
        Command::Completions { shell } => {
            clap_complete::generate(
                shell,
                &mut Args::command(),
                "snipehollow",
                &mut std::io::stdout(),
            );
        }
    }
    Ok(ExitCode::SUCCESS)
}
