//! `snipehollow`: the operators' command line.
//!
//! It reads the sheet, commits it to the key-value service, and asks nodes what they do.

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
