//! The soak notices each broken promise, and a short seeded run keeps them all.

use std::time::Duration;

use snipehollow_core::outcome::Outcome;
use snipehollow_soak::callers::OrderRecord;
use snipehollow_soak::invariants::{Violation, check_orders};
use snipehollow_soak::run::{SoakConfig, run_soak};
use snipehollow_standins::mesh::Mesh;

fn order(body: &str, outcomes: &[Option<Outcome>], succeeded: bool) -> OrderRecord {
    OrderRecord { body: body.into(), outcomes: outcomes.to_vec(), succeeded }
}

#[test]
fn verdict_order_run_twice() {
    let orders = [order("a", &[Some(Outcome::Ran)], true)];
    let runs = ["a".to_owned(), "a".to_owned()];
    assert_eq!(check_orders(&orders, &runs), [Violation::RunTwice { body: "a".into(), runs: 2 }]);
}

#[test]
fn verdict_success_without_a_run() {
    let orders = [order("a", &[Some(Outcome::Ran)], true)];
    assert_eq!(check_orders(&orders, &[]), [Violation::SucceededWithoutRun { body: "a".into() }]);
}

#[test]
fn verdict_not_run_that_ran() {
    let orders = [order("a", &[Some(Outcome::NotRun), Some(Outcome::NotRun)], false)];
    let violations = check_orders(&orders, &["a".to_owned()]);
    assert_eq!(violations, [Violation::RanDespiteNotRun { body: "a".into() }]);
}

#[test]
fn verdict_unknown_outcome_allows_both() {
    let orders = [order("a", &[Some(Outcome::NotRun), None], false)];
    assert!(check_orders(&orders, &["a".to_owned()]).is_empty());
    assert!(check_orders(&orders, &[]).is_empty());
}

#[test]
fn soak_short_seeded_run() {
    let bin = Mesh::find_bin_dir().unwrap();
    let cfg = SoakConfig { seed: 1, length: Duration::from_secs(5), instances: 2, callers: 8 };
    let report = run_soak(&cfg, &bin).unwrap();
    assert!(report.violations.is_empty(), "{:?}", report.violations);
    assert!(report.good_orders > 0 && report.good_reads > 0, "{report:?}");
}
