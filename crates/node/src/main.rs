//! `snipehollowd`: the daemon that runs the node of one upstream host.

use std::path::PathBuf;
use std::process::ExitCode;

use clap::Parser;
use snipehollow_node::adapters::Adapters;
use snipehollow_node::{load_settings, run_node};

/// Run a node of the snipehollow overload control layer; each upstream host runs one.
#[derive(Parser)]
#[command(
    version,
    after_help = "Examples:\n  snipehollowd --config node.ini\n  \
    snipehollowd --config node.ini --check\n\n\
    Exit codes: 0 regular shutdown, 1 failure, 2 invalid settings."
)]
struct Args {
    /// Settings file (INI).
    #[arg(long, value_name = "FILE")]
    config: PathBuf,
    /// Check the settings and exit without running the node.
    #[arg(long)]
    check: bool,
}

fn main() -> ExitCode {
    let args = Args::parse();
    let settings = match load_settings(&args.config) {
        Ok(settings) => settings,
        Err(code) => return code,
    };
    if args.check {
        println!("{}: settings are valid", args.config.display());
        return ExitCode::SUCCESS;
    }
    let adapters = Adapters::native(&settings);
    run_node(settings, adapters)
}
