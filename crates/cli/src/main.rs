//! `snipehollow`: the operators' command line.
//!
//! It commits the operators' sheet to the key-value store and queries and controls nodes through
//! their admin servers.

mod args;
mod commands;
mod error;
mod nodes;
mod output;
mod target;

use std::process::ExitCode;

use clap::Parser;

fn main() -> ExitCode {
    let args = args::Args::parse();
    match commands::run(args) {
        Ok(code) => code,
        Err(err) => {
            eprintln!("snipehollow: {err}");
            err.exit_code()
        }
    }
}
