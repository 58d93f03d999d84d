//! Runs soaks over a range of seeds and prints one result per seed.

use std::process::ExitCode;
use std::time::Duration;

use clap::Parser;
use snipehollow_soak::run::{SoakConfig, run_soak};
use snipehollow_standins::mesh::Mesh;

/// Randomized fault injection against nodes, upstreams and a store as separate processes.
#[derive(Parser)]
#[command(after_help = "Example: soak --seed 100 --seeds 50")]
struct Args {
    /// First seed.
    #[arg(long, default_value_t = 1)]
    seed: u64,
    /// Number of consecutive seeds to run.
    #[arg(long, default_value_t = 1)]
    seeds: u64,
    /// How long new faults are started, in seconds.
    #[arg(long, default_value_t = 8)]
    seconds: u64,
    /// Instances of each of two services in each of two zones.
    #[arg(long, default_value_t = 2)]
    instances: usize,
    /// Number of simulated callers.
    #[arg(long, default_value_t = 16)]
    callers: u64,
}

fn main() -> ExitCode {
    let args = Args::parse();
    let bin = match Mesh::find_bin_dir() {
        Ok(bin) => bin,
        Err(err) => {
            eprintln!("soak: {err}");
            return ExitCode::FAILURE;
        }
    };
    let mut failed = 0;
    for seed in args.seed..args.seed + args.seeds {
        let length = Duration::from_secs(args.seconds);
        let cfg = SoakConfig { seed, length, instances: args.instances, callers: args.callers };
        match run_soak(&cfg, &bin) {
            Ok(report) => {
                println!(
                    "seed {seed}: {} faults, {} of {} orders, {} of {} reads, {} broken",
                    report.faults,
                    report.good_orders,
                    report.orders,
                    report.good_reads,
                    report.reads,
                    report.violations.len()
                );
                failed += u64::from(!report.violations.is_empty());
                report.violations.iter().for_each(|violation| println!("  {violation}"));
            }
            Err(err) => {
                failed += 1;
                println!("seed {seed}: not run: {err}");
            }
        }
    }
    println!("{} seeds, {failed} failed", args.seeds);
    if failed == 0 { ExitCode::SUCCESS } else { ExitCode::FAILURE }
}
