//! Measures goodput, success by rank and recovery under overload, and compares the admission modes:
//! the full layer, a plain fixed limit, and no limit at all.

use std::process::ExitCode;
use std::time::Duration;

use clap::Parser;
use snipehollow_benches::sheets::{RankedClass, ranked_sheet};
use snipehollow_standins::error::StandinError;
use snipehollow_standins::load::{LoadConfig, LoadReport, Phase, RequestKind, run_load};
use snipehollow_standins::mesh::{Mesh, MeshPlan, ServicePlan};
use tokio::runtime::Runtime;

/// Measures goodput, success by rank and recovery under overload.
#[derive(Parser)]
struct Args {
    /// Admission modes to compare, separated by commas.
    #[arg(long, value_delimiter = ',', default_values_t = ["full".to_owned(), "fixed-limit".to_owned(), "pass-through".to_owned()])]
    modes: Vec<String>,
    /// Demand to measure, as multiples of the capacity, separated by commas.
    #[arg(long, value_delimiter = ',', default_values_t = [0.5, 1.0, 2.0, 5.0, 10.0])]
    factors: Vec<f64>,
    /// Duration of each load, in seconds.
    #[arg(long, default_value_t = 6)]
    seconds: u64,
    /// Maximum retries of a caller after a failure, without backoff.
    #[arg(long, default_value_t = 3)]
    hard_retries: u32,
    /// Seed of arrival times and random choices.
    #[arg(long, default_value_t = 1)]
    seed: u64,
}

/// Instances of the only service.
const INSTANCES: usize = 2;
/// Slots of an instance.
const SLOTS: u32 = 10;
/// Service time of a request in milliseconds.
const SERVICE_MS: u64 = 100;
/// Requests per second that the upstreams can complete.
const CAPACITY: f64 = INSTANCES as f64 * SLOTS as f64 * 1_000.0 / SERVICE_MS as f64;
/// Share of the requests in every one-second window that must be good for service to count as
/// recovered.
const RECOVERED_SHARE: f64 = 0.95;
/// Demand during the surge, as a multiple of the capacity.
const SURGE_FACTOR: f64 = 10.0;
/// Demand before and after the surge, as a multiple of the capacity.
const NORMAL_FACTOR: f64 = 0.7;
const BEFORE_SURGE: Duration = Duration::from_secs(2);
const SURGE: Duration = Duration::from_secs(4);
const AFTER_SURGE: Duration = Duration::from_secs(8);
/// Duration of a moderate load before each measurement, so that the adaptive limit has left its
/// cold start.
const WARM_UP: Duration = Duration::from_secs(3);

const CLASSES: [RankedClass<'static>; 3] = [
    RankedClass { name: "urgent", rank: 0, deadline_ms: 1_000, retries: 2 },
    RankedClass { name: "normal", rank: 1, deadline_ms: 1_000, retries: 1 },
    RankedClass { name: "bulk", rank: 2, deadline_ms: 2_000, retries: 0 },
];

fn main() -> ExitCode {
    match measure(&Args::parse()) {
        Ok(()) => ExitCode::SUCCESS,
        Err(err) => {
            eprintln!("overload: {err}");
            ExitCode::FAILURE
        }
    }
}

fn measure(args: &Args) -> Result<(), StandinError> {
    println!(
        "capacity {CAPACITY}/s, {} s each, {} hard retries, seed {}",
        args.seconds, args.hard_retries, args.seed
    );
    println!(
        "mode          demand  goodput/s  of capacity  urgent%  normal%   bulk%  wasted%  recovery"
    );
    let runtime = Runtime::new().map_err(StandinError::io("start the runtime"))?;
    for mode in &args.modes {
        for factor in &args.factors {
            let mesh = start_mesh(mode)?;
            measure_factor(&runtime, &mesh, args, mode, *factor)?;
        }
        let mesh = start_mesh(mode)?;
        measure_recovery(&runtime, &mesh, args, mode)?;
    }
    Ok(())
}

fn start_mesh(mode: &str) -> Result<Mesh, StandinError> {
    let pricing = ServicePlan::new("pricing", INSTANCES, SLOTS, SERVICE_MS);
    let mut plan = MeshPlan::new(&[("zone-a", "region-a")], vec![pricing]);
    plan.run_settings.push_str(&format!("admission = {mode}\n"));
    let mesh = Mesh::start(plan, &Mesh::find_bin_dir()?)?;
    mesh.apply_sheet(&ranked_sheet(&["pricing"], &CLASSES))?;
    mesh.wait_ready(1)?;
    Ok(mesh)
}

fn load(mesh: &Mesh, args: &Args, phases: Vec<Phase>) -> LoadConfig {
    let kind = |text: &str| RequestKind::parse(text);
    LoadConfig {
        targets: mesh.plan.caller_addrs(),
        phases,
        kinds: [
            "urgent,GET,/pricing/urgent,5,1000",
            "normal,GET,/pricing/normal,45,1000",
            "bulk,GET,/pricing/bulk,50,2000",
        ]
        .into_iter()
        .filter_map(kind)
        .collect(),
        immediate_retries: args.hard_retries,
        seed: args.seed,
    }
}

fn phase(factor: f64, duration: Duration) -> Phase {
    Phase { rate: CAPACITY * factor, duration }
}

fn measure_factor(
    runtime: &Runtime,
    mesh: &Mesh,
    args: &Args,
    mode: &str,
    factor: f64,
) -> Result<(), StandinError> {
    runtime.block_on(run_load(&load(mesh, args, vec![phase(0.5, WARM_UP)])));
    let before = started_requests(mesh)?;
    let length = Duration::from_secs(args.seconds);
    let report = runtime.block_on(run_load(&load(mesh, args, vec![phase(factor, length)])));
    let started = started_requests(mesh)? - before;
    let goodput = report.goodput(Duration::ZERO, length);
    let wasted = 100.0 * (started - report.good() as f64).max(0.0) / started.max(1.0);
    println!(
        "{mode:<12} {factor:>6.1}x {goodput:>10.1} {:>11.1}%  {}  {wasted:>6.1}%         -",
        100.0 * goodput / CAPACITY,
        format_good_shares(&report),
    );
    Ok(())
}

/// Returns how many requests the upstreams have started or refused so far.
fn started_requests(mesh: &Mesh) -> Result<f64, StandinError> {
    let mut total = 0.0;
    for host in &mesh.plan.hosts {
        total += mesh.upstream_stats(host)?.started as f64;
    }
    Ok(total)
}

fn format_good_shares(report: &LoadReport) -> String {
    let share = |name: &str| {
        let share = report.kinds.get(name).map_or(0.0, |kind| kind.good_share() * 100.0);
        format!("{share:>7.2}")
    };
    format!("{}  {} {}", share("urgent"), share("normal"), share("bulk"))
}

fn measure_recovery(
    runtime: &Runtime,
    mesh: &Mesh,
    args: &Args,
    mode: &str,
) -> Result<(), StandinError> {
    let phases = vec![
        phase(NORMAL_FACTOR, BEFORE_SURGE + WARM_UP),
        phase(SURGE_FACTOR, SURGE),
        phase(NORMAL_FACTOR, AFTER_SURGE),
    ];
    let report = runtime.block_on(run_load(&load(mesh, args, phases)));
    let surge_end = BEFORE_SURGE + WARM_UP + SURGE;
    let end = surge_end + AFTER_SURGE;
    let recovery = match report.recovery_time(surge_end, RECOVERED_SHARE) {
        Some(time) => format!("{:.1} s", time.as_secs_f64()),
        None => format!("not within {} s", AFTER_SURGE.as_secs()),
    };
    println!(
        "{mode:<12}   surge {:>10.1} {:>11}   {}  {:>7}  {recovery:>8}",
        report.goodput(surge_end, end),
        "after",
        format_good_shares(&report),
        "-",
    );
    Ok(())
}
