//! Tests that the soak detects each violated guarantee, and a short seeded soak without violations.

use std::time::Duration;

use snipehollow_core::outcome::Outcome;
use snipehollow_soak::callers::OrderRecord;
use snipehollow_soak::invariants::{Violation, check_orders};
use snipehollow_soak::run::{SoakConfig, run_soak};
use snipehollow_standins::mesh::Mesh;

fn order(body: &str, outcomes: &[Option<Outcome>], succeeded: bool) -> OrderRecord {
    OrderRecord { body: body.into(), outcomes: outcomes.to_vec(), succeeded }
}

/// Guards against a soak that passes although an order ran more than once.
#[test]
fn order_that_ran_twice_is_a_violation() {
    let orders = [order("a", &[Some(Outcome::Ran)], true)];
    let runs = ["a".to_owned(), "a".to_owned()];
    assert_eq!(check_orders(&orders, &runs), [Violation::RunTwice { body: "a".into(), runs: 2 }]);
}

/// Guards against a soak that passes although a node reported a success for an order that was lost.
#[test]
fn success_without_a_run_is_a_violation() {
    let orders = [order("a", &[Some(Outcome::Ran)], true)];
    assert_eq!(check_orders(&orders, &[]), [Violation::SucceededWithoutRun { body: "a".into() }]);
}

/// Guards against a soak that passes although every response promised that the order was not run.
#[test]
fn run_of_an_order_reported_as_not_run_is_a_violation() {
    let orders = [order("a", &[Some(Outcome::NotRun), Some(Outcome::NotRun)], false)];
    let violations = check_orders(&orders, &["a".to_owned()]);
    assert_eq!(violations, [Violation::RanDespiteNotRun { body: "a".into() }]);
}

/// Guards against a soak that passes although an upstream received a truncated body.
#[test]
fn run_of_a_corrupt_body_is_a_violation() {
    let orders = [order("a 10", &[None], false)];
    let run = "corrupt a 10".to_owned();
    assert_eq!(check_orders(&orders, std::slice::from_ref(&run)), [Violation::CorruptBody { run }]);
}

/// Guards against false alarms: after a call without a response the order may or may not have run.
#[test]
fn unknown_outcome_allows_a_run_or_none() {
    let orders = [order("a", &[Some(Outcome::NotRun), None], false)];
    assert!(check_orders(&orders, &["a".to_owned()]).is_empty());
    assert!(check_orders(&orders, &[]).is_empty());
}

/// Guards against regressions under overlapping faults, with real processes and a fixed seed. The
/// counts must not be zero, since a soak in which nothing succeeded would prove nothing.
#[test]
fn short_seeded_soak_has_no_violations() {
    let bin = Mesh::find_bin_dir().unwrap();
    let cfg = SoakConfig { seed: 1, length: Duration::from_secs(5), instances: 2, callers: 8 };
    let report = run_soak(&cfg, &bin).unwrap();
    assert!(report.violations.is_empty(), "violated guarantees: {:?}", report.violations);
    assert!(
        report.good_orders > 0 && report.good_reads > 0,
        "no order or no read succeeded: {report:?}"
    );
}
