//! Makes long fuzzing runs, for example `fuzz --scenario gate --events 2000000 --seed 1`.
//!
//! Each sequence of operations has a seed of its own. A failure is printed with its scenario and
//! seed, which reproduce it.

use std::panic::catch_unwind;
use std::process::ExitCode;

use clap::{Parser, ValueEnum};
use snipehollow_core::invariant;
use snipehollow_fuzzing::Violation;
use snipehollow_fuzzing::fleet::{FleetPlan, check_fleet};
use snipehollow_fuzzing::generators::{CallPlan, sequence};
use snipehollow_fuzzing::oracles::{
    check_gate, check_messages, check_quarantine, check_retries, check_store, check_tickets,
};

/// Fuzzes the decision code against simple oracles; fails if an oracle reports a violation.
#[derive(Parser)]
struct Args {
    /// Part of the decision code to fuzz.
    #[arg(long, value_enum, default_value_t = Scenario::All)]
    scenario: Scenario,
    /// Number of events to run in each scenario, rounded up to whole sequences.
    #[arg(long, default_value_t = 100_000)]
    events: u64,
    /// Seed of the first sequence; each further sequence uses the next number.
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
    Messages,
    Fleet,
}

const SCENARIOS: [Scenario; 7] = [
    Scenario::Gate,
    Scenario::Tickets,
    Scenario::Retries,
    Scenario::Quarantine,
    Scenario::Store,
    Scenario::Messages,
    Scenario::Fleet,
];
/// Number of events of one sequence.
const SEQUENCE_EVENTS: usize = 1_000;
/// Approximate number of events of one run of a fleet, which is not counted exactly.
const FLEET_EVENTS: u64 = 20_000;

fn main() -> ExitCode {
    let args = Args::parse();
    invariant::enable();
    let selected = SCENARIOS
        .into_iter()
        .filter(|scenario| args.scenario == Scenario::All || args.scenario == *scenario);
    let mut failed = 0;
    for scenario in selected {
        failed += run_scenario(scenario, args.events, args.seed);
    }
    if failed == 0 { ExitCode::SUCCESS } else { ExitCode::FAILURE }
}

/// Runs sequences until `events` events are done or 5 sequences have failed, and returns the number
/// of failed sequences.
fn run_scenario(scenario: Scenario, events: u64, first_seed: u64) -> u32 {
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
                println!("{scenario:?}, seed {seed}: the code under test or its oracle panicked");
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
    let events = SEQUENCE_EVENTS as u64;
    match scenario {
        Scenario::Gate => check_gate(&sequence(seed, SEQUENCE_EVENTS)).map(|()| events),
        Scenario::Tickets => check_tickets(&sequence(seed, SEQUENCE_EVENTS)).map(|_| events),
        Scenario::Quarantine => check_quarantine(&sequence(seed, SEQUENCE_EVENTS)).map(|_| events),
        Scenario::Store => check_store(&sequence(seed, SEQUENCE_EVENTS / 10)).map(|()| events / 10),
        Scenario::Retries => {
            let plans: Vec<CallPlan> = sequence(seed, SEQUENCE_EVENTS / 10);
            for (i, plan) in plans.iter().enumerate() {
                check_retries(plan, (i % 9) as u16)?;
            }
            Ok(events / 10)
        }
        Scenario::Messages => check_messages(seed, SEQUENCE_EVENTS / 10).map(|()| events / 10),
        Scenario::Fleet => check_fleet(&FleetPlan::random(seed)).map(|_| FLEET_EVENTS),
        Scenario::All => Ok(0),
    }
}
