//! Long fuzzing runs: `fuzz --scenario gate --events 2000000 --seed 1`.

use std::panic::catch_unwind;
use std::process::ExitCode;

use clap::{Parser, ValueEnum};
use snipehollow_core::invariant;
use snipehollow_fuzzing::Violation;
use snipehollow_fuzzing::fleet::{FleetPlan, check_fleet};
use snipehollow_fuzzing::generators::{CallPlan, sequence};
use snipehollow_fuzzing::oracles::{
    check_gate, check_quarantine, check_retries, check_store, check_tickets,
};

/// Long fuzzing runs of the decisions against simple oracles.
#[derive(Parser)]
struct Args {
    /// What to fuzz.
    #[arg(long, value_enum, default_value_t = Scenario::All)]
    scenario: Scenario,
    /// Events of each scenario.
    #[arg(long, default_value_t = 100_000)]
    events: u64,
    /// First seed; each sequence has the next one.
    #[arg(long, default_value_t = 1)]
    seed: u64,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, ValueEnum)]
enum Scenario {
    All,
    Gate,
    Tickets,
    Retries,
    Quarantine,
    Store,
    Fleet,
}

const SCENARIOS: [Scenario; 6] = [
    Scenario::Gate,
    Scenario::Tickets,
    Scenario::Retries,
    Scenario::Quarantine,
    Scenario::Store,
    Scenario::Fleet,
];
/// Events of one sequence.
const SEQUENCE: usize = 1_000;
/// Events that a fleet of the fuzzed size makes of one seed, about.
const FLEET_EVENTS: u64 = 20_000;

fn main() -> ExitCode {
    let args = Args::parse();
    invariant::enable();
    let chosen = SCENARIOS
        .into_iter()
        .filter(|scenario| args.scenario == Scenario::All || args.scenario == *scenario);
    let mut failed = 0;
    for scenario in chosen {
        failed += run(scenario, args.events, args.seed);
    }
    if failed == 0 { ExitCode::SUCCESS } else { ExitCode::FAILURE }
}

fn run(scenario: Scenario, events: u64, first_seed: u64) -> u32 {
    let mut done = 0;
    let mut seed = first_seed;
    let mut failed = 0;
    while done < events && failed < 5 {
        match catch_unwind(|| run_seed(scenario, seed)) {
            Ok(Ok(count)) => done += count,
            Ok(Err(violation)) => {
                println!("{scenario:?}, seed {seed}: {violation}");
                failed += 1;
            }
            Err(_) => {
                println!("{scenario:?}, seed {seed}: an invariant inside the program failed");
                failed += 1;
            }
        }
        seed += 1;
    }
    println!("{scenario:?}: {done} events, seeds {first_seed} to {}, {failed} failed", seed - 1);
    failed
}

/// Runs one sequence and returns the number of its events.
fn run_seed(scenario: Scenario, seed: u64) -> Result<u64, Violation> {
    let length = SEQUENCE as u64;
    match scenario {
        Scenario::Gate => check_gate(&sequence(seed, SEQUENCE)).map(|()| length),
        Scenario::Tickets => check_tickets(&sequence(seed, SEQUENCE)).map(|_| length),
        Scenario::Quarantine => check_quarantine(&sequence(seed, SEQUENCE)).map(|_| length),
        Scenario::Store => check_store(&sequence(seed, SEQUENCE / 10)).map(|()| length / 10),
        Scenario::Retries => {
            let plans: Vec<CallPlan> = sequence(seed, SEQUENCE / 10);
            for (i, plan) in plans.iter().enumerate() {
                check_retries(plan, (i % 9) as u16)?;
            }
            Ok(length / 10)
        }
        Scenario::Fleet => check_fleet(&FleetPlan::random(seed)).map(|_| FLEET_EVENTS),
        Scenario::All => Ok(0),
    }
}
