//! Open-loop load generator.

use std::net::SocketAddr;
use std::process::ExitCode;

use clap::Parser;
use snipehollow_standins::load::{LoadConfig, Phase, RequestKind, run_load};

/// Open-loop load generator: sends requests at a given rate, whatever the response times.
#[derive(Parser)]
#[command(after_help = "Example:\n  standin-load --to 127.0.0.1:7000 --phase 100x5 \
    --kind quote,GET,/pricing/quote,1,500")]
struct Args {
    /// Caller listeners of the entry nodes, separated by commas.
    #[arg(long, value_delimiter = ',', required = true)]
    to: Vec<SocketAddr>,
    /// Rate and length of a phase, RATExSECONDS; phases run in the given order.
    #[arg(long = "phase", value_parser = parse_phase, required = true)]
    phases: Vec<Phase>,
    /// Kind of request: NAME,METHOD,PATH,SHARE,DEADLINE_MS with an optional ,ticket.
    #[arg(long = "kind", value_parser = parse_kind, required = true)]
    kinds: Vec<RequestKind>,
    /// Maximum retries of a caller after a failure, without backoff.
    #[arg(long, default_value_t = 0)]
    hard_retries: u32,
    /// Seed of arrival times and random choices.
    #[arg(long, default_value_t = 1)]
    seed: u64,
}

fn parse_phase(text: &str) -> Result<Phase, String> {
    Phase::parse(text).ok_or_else(|| "expected RATExSECONDS, such as 100x5".into())
}

fn parse_kind(text: &str) -> Result<RequestKind, String> {
    RequestKind::parse(text)
        .ok_or_else(|| "expected NAME,METHOD,PATH,SHARE,DEADLINE_MS[,ticket]".into())
}

fn main() -> ExitCode {
    let args = Args::parse();
    let cfg = LoadConfig {
        targets: args.to,
        phases: args.phases,
        kinds: args.kinds,
        immediate_retries: args.hard_retries,
        seed: args.seed,
    };
    let runtime = match tokio::runtime::Runtime::new() {
        Ok(runtime) => runtime,
        Err(err) => {
            eprintln!("standin-load: cannot start the runtime: {err}");
            return ExitCode::FAILURE;
        }
    };
    let report = runtime.block_on(run_load(&cfg));
    print!("{}", report.table());
    ExitCode::SUCCESS
}
