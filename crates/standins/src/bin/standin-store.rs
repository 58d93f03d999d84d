//! Stand-in for the platform's key-value service.

use std::net::SocketAddr;
use std::process::ExitCode;

use clap::Parser;
use snipehollow_standins::store::Store;

/// Stand-in for the platform's key-value service, with all data in memory.
#[derive(Parser)]
struct Args {
    /// Address to listen on.
    #[arg(long)]
    listen: SocketAddr,
}

fn main() -> ExitCode {
    match Store::new().serve(Args::parse().listen) {
        Ok(()) => ExitCode::SUCCESS,
        Err(err) => {
            eprintln!("standin-store: {err}");
            ExitCode::FAILURE
        }
    }
}
