//! Short fuzzing runs with fixed seeds, and the seeds of faults that were found.

use quickcheck::{Gen, QuickCheck};
use snipehollow_fuzzing::fleet::{FleetPlan, check_fleet};
use snipehollow_fuzzing::generators::{
    CallPlan, GateOp, QuarantineOp, StoreOp, TicketOp, sequence,
};
use snipehollow_fuzzing::oracles::{
    check_gate, check_quarantine, check_retries, check_store, check_tickets,
    count_retries_in_failing_chain,
};

const SEED: u64 = 20_261_204;
const TESTS: u64 = 200;
const SIZE: usize = 300;

fn quickcheck() -> QuickCheck {
    QuickCheck::new().tests(TESTS).rng(Gen::from_size_and_seed(SIZE, SEED))
}

#[test]
fn gate_random_events() {
    fn holds(ops: Vec<GateOp>) -> bool {
        check_gate(&ops).is_ok()
    }
    quickcheck().quickcheck(holds as fn(Vec<GateOp>) -> bool);
}

#[test]
fn tickets_random_events() {
    fn holds(ops: Vec<TicketOp>) -> bool {
        check_tickets(&ops).is_ok()
    }
    quickcheck().quickcheck(holds as fn(Vec<TicketOp>) -> bool);
}

#[test]
fn tickets_run_some_requests() {
    let stats = check_tickets(&sequence(SEED, 5_000)).unwrap();
    assert!(stats.ran > 100, "{stats:?}");
    assert!(stats.unknown > 0, "{stats:?}");
}

#[test]
fn retries_random_trees() {
    fn holds(plan: CallPlan, allowance: u8) -> bool {
        check_retries(&plan, u16::from(allowance % 16)).is_ok()
    }
    quickcheck().quickcheck(holds as fn(CallPlan, u8) -> bool);
}

#[test]
fn retries_chain_of_twelve_failing() {
    for allowance in 0..=16 {
        let retries = count_retries_in_failing_chain(12, allowance).unwrap();
        assert!(retries <= u32::from(allowance));
        assert!(allowance == 0 || retries > 0, "an allowance of {allowance} is never used");
    }
}

#[test]
fn quarantine_random_events() {
    fn holds(ops: Vec<QuarantineOp>) -> bool {
        check_quarantine(&ops).is_ok()
    }
    quickcheck().quickcheck(holds as fn(Vec<QuarantineOp>) -> bool);
}

/// A bystander was convicted because it was in flight at two crashes at two hosts, and a
/// quarantine was overwritten by a mere suspicion.
#[test]
fn quarantine_seeds_of_faults() {
    for seed in [2, 8, 10, 11, 12, 23, 36, 133, 101_240] {
        check_quarantine(&sequence(seed, 1_000)).unwrap();
    }
}

#[test]
fn store_random_events() {
    fn holds(ops: Vec<StoreOp>) -> bool {
        check_store(&ops).is_ok()
    }
    quickcheck().quickcheck(holds as fn(Vec<StoreOp>) -> bool);
}

/// A store that came back empty was never repaired, and a node with another change under the
/// same number never took a newer one.
#[test]
fn store_seeds_of_faults() {
    for seed in [22, 46, 51, 57, 73] {
        check_store(&sequence(seed, 100)).unwrap();
    }
}

#[test]
fn fleet_random_disturbances() {
    for seed in 1..=8 {
        check_fleet(&FleetPlan::random(seed)).unwrap();
    }
}

/// Most members lacked one that a few knew, and agreeing with each other they never asked.
#[test]
fn fleet_seeds_of_faults() {
    check_fleet(&FleetPlan::random(700_095)).unwrap();
}
