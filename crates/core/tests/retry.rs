//! Bounds of retry budgets, and attribution of repeated work.

use std::time::Duration;

use snipehollow_core::class::Rank;
use snipehollow_core::ids::ClassName;
use snipehollow_core::retry::{ActiveRuns, RetryBudget};
use snipehollow_core::rng::Rng;
use snipehollow_core::time::Timestamp;

#[test]
fn retries_of_many_nodes_stay_within_their_share_of_requests() {
    let mut rng = Rng::new(3);
    let mut budgets = vec![RetryBudget::new(); 100];
    let (mut requests, mut retries) = (0u32, 0u32);
    let mut now = Timestamp::ZERO;
    for _ in 0..50_000 {
        now = now + Duration::from_millis(1);
        let i = rng.below(budgets.len());
        if rng.chance(0.01) {
            // A restarted node starts with an empty budget.
            budgets[i] = RetryBudget::new();
        }
        budgets[i].record_request(now, 0.0);
        requests += 1;
        retries += u32::from(budgets[i].spend(now, Rank(0)));
    }
    assert!(
        f64::from(retries) <= 0.2 * f64::from(requests),
        "{retries} retries of {requests} requests"
    );
    assert!(retries > 0);
}

#[test]
fn budget_decays_during_a_quiet_period() {
    let mut budget = RetryBudget::new();
    let mut now = Timestamp::ZERO;
    (0..1_000).for_each(|_| budget.record_request(now, 0.0));
    now = now + Duration::from_secs(20);
    assert!(!budget.spend(now, Rank(0)));
}

#[test]
fn calls_of_retried_runs_are_charged_to_the_budget() {
    let now = Timestamp::ZERO;
    let mut budget = RetryBudget::new();
    (0..100).for_each(|_| budget.record_request(now, 0.0));
    (0..20).for_each(|_| budget.record_request(now, 1.0));
    assert!(!budget.spend(now, Rank(0)));
}

#[test]
fn budget_keeps_a_reserve_for_rank_0() {
    let now = Timestamp::ZERO;
    let mut budget = RetryBudget::new();
    (0..1_000).for_each(|_| budget.record_request(now, 0.0));
    let lower = (0..100).filter(|_| budget.spend(now, Rank(1))).count();
    let urgent = (0..100).filter(|_| budget.spend(now, Rank(0))).count();
    assert!(lower > 0 && urgent >= 3, "{lower} retries of rank 1, {urgent} of rank 0");
}

/// While many runs of one class are retries, calls that only other classes make must not be
/// charged as repeated work, nor must requests that no run makes.
#[test]
fn repeat_share_counts_only_runs_that_may_make_the_call() {
    let (order, report) = (ClassName::new("order").unwrap(), ClassName::new("report").unwrap());
    let mut runs = ActiveRuns::new();
    for id in 0..10 {
        runs.start(id, &order, 1.0);
    }
    for id in 10..20 {
        runs.start(id, &report, 0.0);
    }
    assert_eq!(runs.repeat_share(|class| *class == report), 0.0);
    assert_eq!(runs.repeat_share(|class| *class == order), 1.0);
    assert_eq!(runs.repeat_share(|_| false), 0.0);
    assert_eq!(runs.end(&3), Some(order));
    assert_eq!(runs.end(&3), None);
}
