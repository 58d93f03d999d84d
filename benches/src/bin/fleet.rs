//! Measures membership and configuration in one zone over the simulated network: how long failures,
//! leaves and revisions take to spread, and the cost per host.

use std::process::ExitCode;
use std::time::{Duration, Instant};

use clap::Parser;
use snipehollow_fuzzing::Violation;
use snipehollow_fuzzing::fleet::{FleetOp, FleetPlan, FleetReport, check_fleet};

/// Measures membership and configuration in one zone over a simulated network.
#[derive(Parser)]
struct Args {
    /// Numbers of hosts to measure, separated by commas.
    #[arg(long, value_delimiter = ',', default_values_t = [8, 32, 128, 1_000])]
    hosts: Vec<usize>,
    /// Share of messages that are lost, from 0 to 1.
    #[arg(long, default_value_t = 0.01)]
    loss: f64,
    /// Seed of the simulation.
    #[arg(long, default_value_t = 1)]
    seed: u64,
}

/// Simulated time for the hosts to find each other before the first operation.
const JOIN_TIME: Duration = Duration::from_secs(40);
/// Hosts behind one switch.
const RACK_HOSTS: usize = 40;
/// Simulated length of a run.
const LENGTH: Duration = Duration::from_secs(160);

fn main() -> ExitCode {
    let args = Args::parse();
    println!("loss {}, delay up to 5 ms, {} s, seed {}", args.loss, LENGTH.as_secs(), args.seed);
    println!(
        "hosts  dead host known s      leave known s         revision in force s    \
         healed   msg/s  bytes/s  CPU"
    );
    println!("         p50   p99   max       p50   p99   max        p50   p99   max");
    for hosts in &args.hosts {
        if let Err(violation) = measure(*hosts, &args) {
            eprintln!("fleet: {hosts} hosts: {violation}");
            return ExitCode::FAILURE;
        }
    }
    ExitCode::SUCCESS
}

fn measure(hosts: usize, args: &Args) -> Result<(), Violation> {
    let started = Instant::now();
    let report = check_fleet(&measurement_plan(hosts, args))?;
    let cpu = started.elapsed().as_secs_f64() / (LENGTH.as_secs_f64() * hosts as f64);
    let p50_p99_max = |times: &[Duration]| {
        let (p50, p99, max) = FleetReport::summary(times);
        format!("{p50:>5.1} {p99:>5.1} {max:>5.1}")
    };
    let healed = report
        .convergence_time
        .map_or_else(|| "never".to_owned(), |time| format!("{:.1} s", time.as_secs_f64()));
    println!(
        "{hosts:>5}   {}     {}      {}   {healed:>8}  {:>6.2} {:>8.0}  {:.4}%",
        p50_p99_max(&report.detection_times),
        p50_p99_max(&report.leave_times),
        p50_p99_max(&report.commit_times),
        report.messages_per_host_second,
        report.bytes_per_host_second,
        cpu * 100.0,
    );
    Ok(())
}

/// Returns a plan with three commits, three kills, a leave, and a partition of a rack (at most a
/// tenth of the hosts, at least one) that heals after 30 s.
fn measurement_plan(hosts: usize, args: &Args) -> FleetPlan {
    let mut plan = FleetPlan::new(hosts, LENGTH, args.seed);
    plan.loss_rate = args.loss;
    let at = |seconds: u64| JOIN_TIME + Duration::from_secs(seconds);
    for i in 0..3 {
        let i = i as u64;
        let host = hosts - 1 - i as usize;
        plan = plan.with(at(i * 4), FleetOp::Commit(0)).with(at(1 + i * 4), FleetOp::Kill(host));
    }
    plan = plan
        .with(at(14), FleetOp::Leave(hosts - 4))
        .with(at(30), FleetOp::Partition((hosts / 10).clamp(1, RACK_HOSTS)))
        .with(at(60), FleetOp::Heal);
    plan.schedule.sort_by_key(|(at, _)| *at);
    plan
}
