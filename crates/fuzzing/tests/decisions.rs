//! Short fuzzing runs with fixed seeds, and the seeds that found faults in the past.

use quickcheck::{Gen, QuickCheck};
use snipehollow_fuzzing::fleet::{FleetPlan, check_fleet};
use snipehollow_fuzzing::generators::{
    CallPlan, GateOp, QuarantineOp, StoreOp, TicketOp, sequence,
};
use snipehollow_fuzzing::oracles::{
    check_gate, check_messages, check_quarantine, check_retries, check_store, check_tickets,
    count_retries_in_failing_chain,
};

const SEED: u64 = 20_261_204;
/// Number of cases of each property.
const CASES: u64 = 200;
/// Size of the generator; a random sequence has fewer operations than this.
const GENERATOR_SIZE: usize = 300;

fn quickcheck() -> QuickCheck {
    QuickCheck::new().tests(CASES).rng(Gen::from_size_and_seed(GENERATOR_SIZE, SEED))
}

#[test]
fn gate_decisions_match_the_model() {
    fn property(ops: Vec<GateOp>) -> bool {
        check_gate(&ops).is_ok()
    }
    quickcheck().quickcheck(property as fn(Vec<GateOp>) -> bool);
}

#[test]
fn tickets_run_each_request_at_most_once() {
    fn property(ops: Vec<TicketOp>) -> bool {
        check_tickets(&ops).is_ok()
    }
    quickcheck().quickcheck(property as fn(Vec<TicketOp>) -> bool);
}

/// Checks that random sequences of operations exercise the tickets at all.
#[test]
fn ticket_operations_include_runs_and_unknown_outcomes() {
    let stats = check_tickets(&sequence(SEED, 5_000)).unwrap();
    assert!(stats.ran > 100, "{stats:?}");
    assert!(stats.unknown > 0, "{stats:?}");
}

#[test]
fn retries_of_random_call_trees_stay_within_the_allowance() {
    fn property(plan: CallPlan, allowance: u8) -> bool {
        check_retries(&plan, u16::from(allowance % 16)).is_ok()
    }
    quickcheck().quickcheck(property as fn(CallPlan, u8) -> bool);
}

#[test]
fn retries_of_twelve_nested_failures_stay_within_the_allowance() {
    for allowance in 0..=16 {
        let retries = count_retries_in_failing_chain(12, allowance).unwrap();
        assert!(retries <= u32::from(allowance));
        assert!(allowance == 0 || retries > 0, "an allowance of {allowance} was not used at all");
    }
}

#[test]
fn quarantine_spares_harmless_requests() {
    fn property(ops: Vec<QuarantineOp>) -> bool {
        check_quarantine(&ops).is_ok()
    }
    quickcheck().quickcheck(property as fn(Vec<QuarantineOp>) -> bool);
}

/// Guards against two faults: a harmless request was quarantined because it was in flight during
/// two crashes at two hosts, and a quarantine was overwritten by a suspicion.
#[test]
fn quarantine_spares_harmless_requests_in_regression_seeds() {
    for seed in [2, 8, 10, 11, 12, 23, 36, 133, 101_240] {
        check_quarantine(&sequence(seed, 1_000)).unwrap();
    }
}

#[test]
fn nodes_converge_despite_store_faults() {
    fn property(ops: Vec<StoreOp>) -> bool {
        check_store(&ops).is_ok()
    }
    quickcheck().quickcheck(property as fn(Vec<StoreOp>) -> bool);
}

/// Guards against two faults: a store that came back empty was never repaired, and a node that had
/// a different change under the same revision never adopted a newer revision.
#[test]
fn nodes_converge_in_regression_seeds() {
    for seed in [22, 46, 51, 57, 73] {
        check_store(&sequence(seed, 100)).unwrap();
    }
}

/// Guards against entries of another writer that hide others or end a node.
#[test]
fn wrong_entries_of_messages_hide_no_others() {
    for seed in 1..=60 {
        check_messages(seed, 100).unwrap();
    }
}

#[test]
fn fleet_agrees_after_random_operations() {
    for seed in 1..=8 {
        check_fleet(&FleetPlan::random(seed)).unwrap();
    }
}

/// Guards against a fault of anti-entropy: most hosts lacked a member that a few others knew, and
/// because their digests agreed with each other they never asked for it.
#[test]
fn fleet_agrees_in_regression_seeds() {
    check_fleet(&FleetPlan::random(700_095)).unwrap();
}
