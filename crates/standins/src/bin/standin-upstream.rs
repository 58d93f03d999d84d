//! Stand-in for an upstream.

use std::net::SocketAddr;
use std::process::ExitCode;
use std::time::Duration;

use clap::Parser;
use snipehollow_core::ids::ServiceName;
use snipehollow_standins::error::StandinError;
use snipehollow_standins::upstream::{UpstreamConfig, serve};

/// Stand-in for an upstream with limited slots and a fixed service time.
#[derive(Parser)]
struct Args {
    /// Name of the service.
    #[arg(long)]
    service: String,
    /// Address to listen on.
    #[arg(long)]
    listen: SocketAddr,
    /// Upstream listener of the node on this host, to announce to.
    #[arg(long)]
    announce: Option<SocketAddr>,
    /// Caller listener of the node on this host, for downstream calls.
    #[arg(long)]
    node: Option<SocketAddr>,
    /// Requests that it runs at once at full speed.
    #[arg(long, default_value_t = 50)]
    slots: u32,
    /// Connections that it announces to the node.
    #[arg(long, default_value_t = 400)]
    connections: u32,
    /// Time that a request takes in a slot, in microseconds.
    #[arg(long, default_value_t = 10_000)]
    service_us: u64,
    /// Duration of the cold start, in which requests take three times as long, in milliseconds.
    #[arg(long, default_value_t = 0)]
    cold_ms: u64,
    /// Size of a response body in bytes.
    #[arg(long, default_value_t = 1_024)]
    answer_bytes: usize,
    /// Path that each request calls through the node; can be given several times.
    #[arg(long = "call")]
    calls: Vec<String>,
    /// File to which the body of each POST request is appended before the request runs.
    #[arg(long)]
    ledger: Option<std::path::PathBuf>,
    /// Refuse requests that find all slots taken.
    #[arg(long)]
    sheds: bool,
}

fn main() -> ExitCode {
    match run(Args::parse()) {
        Ok(()) => ExitCode::SUCCESS,
        Err(err) => {
            eprintln!("standin-upstream: {err}");
            ExitCode::FAILURE
        }
    }
}

fn run(args: Args) -> Result<(), StandinError> {
    let service = ServiceName::new(&args.service)
        .map_err(|err| StandinError::Invalid(format!("--service: {err}")))?;
    let cfg = UpstreamConfig {
        service,
        listen_addr: args.listen,
        announce_to: args.announce,
        node_addr: args.node,
        slots: args.slots,
        connections: args.connections,
        service_time: Duration::from_micros(args.service_us),
        cold_time: Duration::from_millis(args.cold_ms),
        response_bytes: args.answer_bytes,
        downstream_calls: args.calls,
        sheds_load: args.sheds,
        run_log: args.ledger,
    };
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .worker_threads(1)
        .enable_all()
        .build()
        .map_err(StandinError::io("start the runtime"))?;
    runtime.block_on(serve(cfg))
}
