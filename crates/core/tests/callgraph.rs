//! Estimated call factors.

use std::time::Duration;

use snipehollow_core::callgraph::CallFactors;
use snipehollow_core::ids::ClassName;
use snipehollow_core::rng::Rng;
use snipehollow_core::time::Timestamp;

fn class(name: &str) -> ClassName {
    ClassName::new(name).unwrap()
}

fn factor(factors: &CallFactors, run: &str, call: &str) -> f64 {
    let (run, call) = (class(run), class(call));
    factors
        .for_class(&run)
        .iter()
        .find(|(name, _)| **name == call)
        .map_or(0.0, |(_, factor)| *factor)
}

/// Simulated event.
enum Event {
    Start(&'static str),
    Call,
    End(&'static str),
}

/// Simulates concurrent runs of two classes that start at random and returns the estimates.
///
/// Each run of `deep` makes four sequential calls. Runs of `flat` make none and are an eighth as
/// frequent.
fn simulate_runs(seed: u64, seconds: u64) -> CallFactors {
    let mut rng = Rng::new(seed);
    let mut events: Vec<(u64, Event)> = Vec::new();
    for start in (0..seconds * 1_000).step_by(10) {
        if rng.chance(0.4) {
            events.push((start, Event::Start("deep")));
            events.extend((0..4).map(|call| (start + 20 + 70 * call, Event::Call)));
            events.push((start + 300, Event::End("deep")));
        }
        if rng.chance(0.05) {
            events.push((start, Event::Start("flat")));
            events.push((start + 180, Event::End("flat")));
        }
    }
    events.sort_by_key(|(at, _)| *at);
    let mut factors = CallFactors::new();
    for (at, event) in events {
        let now = Timestamp::from_millis(at);
        match event {
            Event::Start(name) => factors.record_run_start(now, &class(name)),
            Event::Call => factors.record_call(now, &class("call")),
            Event::End(name) => factors.record_run_end(now, &class(name)),
        }
    }
    factors
}

#[test]
fn call_factors_distinguish_classes() {
    for seed in 0..40 {
        for seconds in [6, 50] {
            let factors = simulate_runs(seed, seconds);
            let deep = factor(&factors, "deep", "call");
            assert!((deep - 4.0).abs() < 0.4, "seed {seed}, {seconds} s: {deep}");
            let flat = factor(&factors, "flat", "call");
            assert!(flat < 0.3, "seed {seed}, {seconds} s: {flat}");
        }
    }
}

#[test]
fn every_class_counts_as_calling_before_there_are_estimates() {
    let factors = simulate_runs(1, 2);
    assert_eq!(factor(&factors, "deep", "call"), 1.0);
    assert_eq!(factor(&factors, "flat", "call"), 1.0);
}

#[test]
fn call_without_run_in_flight_is_attributed_to_no_class() {
    let mut factors = CallFactors::new();
    factors.record_call(Timestamp::ZERO, &class("call"));
    for i in 0..100 {
        factors.record_run_start(Timestamp::from_millis(200 * i), &class("run"));
        factors.record_run_end(Timestamp::from_millis(200 * i + 100), &class("run"));
    }
    assert_eq!(factors.for_class(&class("run")).len(), 0);
}

#[test]
fn run_end_without_start_is_ignored() {
    let mut factors = CallFactors::new();
    factors.record_run_end(Timestamp::ZERO, &class("run"));
    factors.record_run_start(Timestamp::ZERO, &class("run"));
    factors.record_run_end(Timestamp::ZERO, &class("run"));
    factors.record_run_end(Timestamp::ZERO, &class("run"));
    assert_eq!(factors.for_class(&class("run")).len(), 0);
}

#[test]
fn number_of_tracked_call_classes_is_bounded() {
    let mut factors = CallFactors::new();
    for i in 0..1_000 {
        let now = Timestamp::from_millis(i);
        factors.record_run_start(now, &class(&format!("run-{i}")));
        factors.record_call(now, &class(&format!("call-{i}")));
    }
    assert!(factors.for_class(&class("run-0")).len() <= 32);
}

#[test]
fn call_factors_are_estimated_after_many_rare_classes() {
    let mut factors = CallFactors::new();
    for i in 0..1_000 {
        let (now, rare) = (Timestamp::from_millis(i * 20), class(&format!("rare-{i}")));
        factors.record_run_start(now, &rare);
        factors.record_call(now, &class(&format!("rare-call-{i}")));
        factors.record_run_end(now + Duration::from_millis(5), &rare);
    }
    let (run, call) = (class("run"), class("call"));
    for i in 1_000..2_000 {
        let now = Timestamp::from_millis(i * 20);
        factors.record_run_start(now, &run);
        factors.record_call(now + Duration::from_millis(5), &call);
        factors.record_run_end(now + Duration::from_millis(10), &run);
    }
    assert!(factor(&factors, "run", "call") > 0.8);
}

#[test]
fn call_factor_falls_when_a_class_stops_calling() {
    let mut factors = CallFactors::new();
    let (run, call) = (class("run"), class("call"));
    for i in 0..200 {
        let now = Timestamp::from_millis(i * 500);
        factors.record_run_start(now, &run);
        if i < 60 {
            factors.record_call(now, &call);
        }
        factors.record_run_end(now + Duration::from_millis(100), &run);
    }
    assert!(factor(&factors, "run", "call") < 0.2);
}
