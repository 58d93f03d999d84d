//! Measures the latency that the entry node and the gate add to a direct call, at several numbers
//! of connections.

use std::process::ExitCode;
use std::time::Duration;

use clap::Parser;
use snipehollow_benches::latency::{CallPath, CallPathResult, measure_call_paths};
use snipehollow_benches::sheets::single_class_sheet;
use snipehollow_standins::error::StandinError;
use snipehollow_standins::mesh::{Mesh, MeshPlan, ServicePlan};

/// Measures the latency that the entry node and the gate add to a direct call.
#[derive(Parser)]
struct Args {
    /// Mean requests per second.
    #[arg(long, default_value_t = 1_000.0)]
    rate: f64,
    /// Number of turns of each call path.
    #[arg(long, default_value_t = 10)]
    rounds: usize,
    /// Numbers of connections to measure with, separated by commas.
    #[arg(long, value_delimiter = ',', default_values_t = [16, 64, 400])]
    connections: Vec<usize>,
    /// Seed of arrival times and of the choice of connections.
    #[arg(long, default_value_t = 1)]
    seed: u64,
}

/// Length of one turn of a call path.
const TURN: Duration = Duration::from_secs(1);

fn main() -> ExitCode {
    match measure(&Args::parse()) {
        Ok(()) => ExitCode::SUCCESS,
        Err(err) => {
            eprintln!("added-latency: {err}");
            ExitCode::FAILURE
        }
    }
}

fn measure(args: &Args) -> Result<(), StandinError> {
    let mut echo = ServicePlan::new("echo", 1, 400, 0);
    echo.connections = 1_000;
    let idle = ServicePlan::new("idle", 1, 1, 1);
    let plan = MeshPlan::new(&[("zone-a", "region-a")], vec![echo, idle]);
    let mesh = Mesh::start(plan, &Mesh::find_bin_dir()?)?;
    mesh.apply_sheet(&single_class_sheet(&["echo", "idle"], 2_000, 0))?;
    mesh.wait_ready(1)?;
    let (echo, other) = (&mesh.plan.hosts[0], &mesh.plan.hosts[1]);
    let call_paths = [
        CallPath { name: "direct", addr: echo.upstream_addr(), url_path: "/x" },
        CallPath {
            name: "entry and gate on the host",
            addr: echo.caller_addr(),
            url_path: "/echo/x",
        },
        CallPath { name: "entry on another host", addr: other.caller_addr(), url_path: "/echo/x" },
    ];
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .worker_threads(2)
        .enable_all()
        .build()
        .map_err(StandinError::io("start the runtime"))?;
    println!("rate {}/s, {} turns of 1 s each, seed {}", args.rate, args.rounds, args.seed);
    println!(
        "connections  call path                        p50 ms   p99 ms  p99.9 ms  added p99  slowest/median  failed"
    );
    for connections in &args.connections {
        let measurement =
            measure_call_paths(&call_paths, *connections, args.rate, args.rounds, TURN, args.seed);
        let results = runtime.block_on(measurement).map_err(StandinError::io("connect"))?;
        for (call_path, result) in call_paths.iter().zip(&results) {
            print_row(*connections, call_path, result, &results[0]);
        }
    }
    Ok(())
}

fn print_row(
    connections: usize,
    call_path: &CallPath,
    result: &CallPathResult,
    direct: &CallPathResult,
) {
    let (slowest, median) = result.slowest_and_median();
    println!(
        "{connections:>11}  {:<30} {:>8.3} {:>8.3} {:>9.3} {:>10.3}  {:>14}  {:>6}",
        call_path.name,
        result.quantile_ms(0.5),
        result.quantile_ms(0.99),
        result.quantile_ms(0.999),
        result.quantile_ms(0.99) - direct.quantile_ms(0.99),
        format!("{slowest}/{median}"),
        result.failures
    );
}
