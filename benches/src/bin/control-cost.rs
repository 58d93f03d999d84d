//! Measures what control costs a node in a real mesh: CPU, memory, network traffic and store calls.

use std::process::ExitCode;
use std::thread;
use std::time::{Duration, Instant};

use clap::Parser;
use snipehollow_benches::sheets::single_class_sheet;
use snipehollow_standins::error::StandinError;
use snipehollow_standins::mesh::{Mesh, MeshPlan, ServicePlan};

/// Measures what control (membership, directory and configuration) costs a node in a real mesh.
#[derive(Parser)]
struct Args {
    /// Numbers of nodes to measure, in two zones, separated by commas.
    #[arg(long, value_delimiter = ',', default_values_t = [8, 32, 96])]
    nodes: Vec<usize>,
    /// Duration of each measurement, in seconds.
    #[arg(long, default_value_t = 20)]
    seconds: u64,
    /// Number of configuration changes during a measurement.
    #[arg(long, default_value_t = 10)]
    changes: u32,
}

/// Time between the mesh being ready and the measurement, so that start-up costs are left out.
const SETTLE_TIME: Duration = Duration::from_secs(40);

fn main() -> ExitCode {
    let args = Args::parse();
    println!("{} s with {} configuration changes", args.seconds, args.changes);
    println!(
        "nodes  ready s  control CPU%  process CPU%  memory MB  sent B/s  received B/s  store calls/s  in force s"
    );
    for nodes in &args.nodes {
        if let Err(err) = measure(*nodes, &args) {
            eprintln!("control-cost: {err}");
            return ExitCode::FAILURE;
        }
    }
    ExitCode::SUCCESS
}

/// Resource use summed over all nodes: CPU in seconds, the rest in bytes.
#[derive(Clone, Copy, Default)]
struct Usage {
    control_cpu: f64,
    process_cpu: f64,
    resident: f64,
    sent: f64,
    received: f64,
}

fn measure(nodes: usize, args: &Args) -> Result<(), StandinError> {
    let services = vec![ServicePlan::new("pricing", nodes, 10, 10)];
    let mut plan = MeshPlan::new(&[("zone-a", "region-a"), ("zone-b", "region-a")], services);
    plan.run_settings = "traffic_threads = 1\n".into();
    let started = Instant::now();
    let mesh = Mesh::start(plan, &Mesh::find_bin_dir()?)?;
    mesh.apply_sheet(&single_class_sheet(&["pricing"], 1_000, 1))?;
    mesh.wait_ready(1)?;
    let ready = started.elapsed().as_secs_f64();
    thread::sleep(SETTLE_TIME);
    let before = total_usage(&mesh)?;
    let store_calls_before = store_calls(&mesh)?;
    let started = Instant::now();
    let slowest = apply_changes(&mesh, args)?;
    thread::sleep(Duration::from_secs(args.seconds).saturating_sub(started.elapsed()));
    let seconds = started.elapsed().as_secs_f64();
    let after = total_usage(&mesh)?;
    let store_calls_made = store_calls(&mesh)? - store_calls_before;
    let per_node = |value: f64| value / nodes as f64;
    let rate = |before: f64, after: f64| per_node(after - before) / seconds;
    println!(
        "{nodes:>5} {ready:>8.1} {:>13.3} {:>13.3} {:>10.1} {:>9.0} {:>13.0} {:>14.2} {slowest:>11.2}",
        rate(before.control_cpu, after.control_cpu) * 100.0,
        rate(before.process_cpu, after.process_cpu) * 100.0,
        per_node(after.resident) / 1e6,
        rate(before.sent, after.sent),
        rate(before.received, after.received),
        store_calls_made / seconds,
    );
    Ok(())
}

/// Applies configuration changes at even intervals and returns the longest time in seconds from the
/// start of a change until all nodes had it in force.
fn apply_changes(mesh: &Mesh, args: &Args) -> Result<f64, StandinError> {
    let mut slowest = 0.0_f64;
    for i in 0..args.changes {
        let started = Instant::now();
        let applied = mesh.apply_sheet(&single_class_sheet(&["pricing"], 1_001 + i, 1))?;
        if !applied.status.success() {
            let text = String::from_utf8_lossy(&applied.stderr).into_owned();
            return Err(StandinError::Invalid(text));
        }
        mesh.wait_ready(u64::from(i) + 2)?;
        slowest = slowest.max(started.elapsed().as_secs_f64());
        let interval = Duration::from_secs(args.seconds) / (args.changes + 1);
        thread::sleep(interval.saturating_sub(started.elapsed()));
    }
    Ok(slowest)
}

fn store_calls(mesh: &Mesh) -> Result<f64, StandinError> {
    let counts = mesh.store_counts()?;
    Ok((counts.reads + counts.writes + counts.watches + counts.leases) as f64)
}

fn total_usage(mesh: &Mesh) -> Result<Usage, StandinError> {
    let mut total = Usage::default();
    for host in &mesh.plan.hosts {
        let text = mesh.metrics(host)?;
        let value = |name: &str| {
            let line = text.lines().find(|line| line.starts_with(name));
            line.and_then(|line| line.rsplit(' ').next()?.parse::<f64>().ok()).unwrap_or(0.0)
        };
        total.control_cpu += value("snipehollow_control_cpu_seconds ");
        total.process_cpu += value("snipehollow_process_cpu_seconds ");
        total.resident += value("snipehollow_resident_bytes ");
        total.sent += value("snipehollow_control_bytes_total{direction=\"sent\"} ");
        total.received += value("snipehollow_control_bytes_total{direction=\"received\"} ");
    }
    Ok(total)
}
