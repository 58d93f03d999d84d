//! Pressure of gates, and how shedding by it settles.

use std::collections::VecDeque;
use std::time::Duration;

use snipehollow_core::admission::{
    DemandMeter, Gate, GateConfig, ReportedLevel, SheddingLevels, admitted_share,
};
use snipehollow_core::class::Rank;
use snipehollow_core::rng::Rng;
use snipehollow_core::time::Timestamp;

const TICK: Duration = Duration::from_millis(100);
const SLOTS: u32 = 16;

/// Feeds a meter with one demand, in multiples of the slots, and one wait for a while.
fn feed(meter: &mut DemandMeter, now: &mut Timestamp, demand: f64, wait_ms: u64, ticks: u32) {
    for _ in 0..ticks {
        *now = *now + TICK;
        meter.record_arrival(TICK.mul_f64(demand * f64::from(SLOTS)));
        meter.end_period(*now, SLOTS, Duration::from_millis(wait_ms));
    }
}

#[test]
fn pressure_rises_with_demand_and_falls_without() {
    let (mut meter, mut now) = (DemandMeter::default(), Timestamp::ZERO);
    feed(&mut meter, &mut now, 0.9, 10, 50);
    assert_eq!(meter.level(), 0.0);
    feed(&mut meter, &mut now, 1.5, 200, 20);
    assert!(meter.level() > 0.5, "{}", meter.level());
    feed(&mut meter, &mut now, 0.4, 0, 60);
    assert_eq!(meter.level(), 0.0);
}

#[test]
fn pressure_ignores_demand_that_nobody_waits_for() {
    let (mut meter, mut now) = (DemandMeter::default(), Timestamp::ZERO);
    feed(&mut meter, &mut now, 1.2, 10, 50);
    assert_eq!(meter.level(), 0.0);
}

#[test]
fn demand_on_a_cold_adaptive_gate_is_compared_with_the_announced_slots() {
    let cold = Gate::new(GateConfig::new(), 40);
    assert!(cold.limit() < 40, "{}", cold.limit());
    assert_eq!(cold.capacity(), 40);
    let fixed = Gate::new(GateConfig::new().with_adaptive(false).with_slot_share(0.95), 40);
    assert_eq!(fixed.capacity(), fixed.limit());
}

#[test]
fn pressure_ignores_a_short_burst() {
    let (mut meter, mut now) = (DemandMeter::default(), Timestamp::ZERO);
    feed(&mut meter, &mut now, 0.5, 0, 10);
    for _ in 0..10 {
        feed(&mut meter, &mut now, 8.0, 300, 1);
        assert_eq!(meter.level(), 0.0);
        feed(&mut meter, &mut now, 0.0, 0, 1);
        assert_eq!(meter.level(), 0.0);
    }
}

#[test]
fn pressure_sheds_the_most_urgent_rank_last() {
    let (mut meter, mut now) = (DemandMeter::default(), Timestamp::ZERO);
    feed(&mut meter, &mut now, 2.0, 400, 10);
    assert!(meter.level() < 1.0, "{}", meter.level());
    feed(&mut meter, &mut now, 2.0, 400, 100);
    assert!(meter.level() > 1.2, "{}", meter.level());
}

#[test]
fn admitted_share_by_rank() {
    assert!((admitted_share(0.6, Rank(1)) - 0.4).abs() < 0.01);
    assert_eq!(admitted_share(0.6, Rank(0)), 1.0);
    assert!((admitted_share(1.5, Rank(0)) - 0.5).abs() < 0.01);
    assert!(admitted_share(1.9, Rank(3)) > 0.0);
}

#[test]
fn reported_level_fades_when_nobody_reports() {
    let now = Timestamp::from_millis(5);
    let mut level = ReportedLevel::default();
    level.record_level(now, 1_000);
    assert!(level.get(now) > 0.9);
    assert!(level.get(now + Duration::from_secs(8)) < 0.05);
}

#[test]
fn tree_pressure_text_round_trip() {
    for pressure in [SheddingLevels::new(0.0, 0.0, false), SheddingLevels::new(0.5, 1.234, true)] {
        assert_eq!(SheddingLevels::parse(&pressure.to_string()), Some(pressure));
    }
    for text in ["", "1", "1/1", "x/1/root", "-1/1/root", "70000/1/root", "1/1/leaf", "1/1/root/"] {
        assert_eq!(SheddingLevels::parse(text), None, "{text}");
    }
}

/// Time of one simulated step.
const STEP_MS: u64 = 5;
/// Time that a call holds a slot.
const CALL_MS: u64 = 50;
/// Time after which a tree that is not complete has failed.
const TREE_MS: u64 = 1_500;
/// Chains of calls that a tree makes at the same time, and calls in each of them.
const CHAINS: u32 = 2;
const CHAIN_CALLS: u32 = 4;
/// Time that a level takes from the gate to the entries.
const LEVEL_DELAY_MS: u64 = 300;

struct Tree {
    deadline: u64,
    calls_done: u32,
}

#[derive(Default)]
struct Count {
    trees: u32,
    calls: u32,
    wasted_calls: u32,
}

/// A service of one gate, and entries that shed whole trees of calls to it by its level.
struct Deep {
    slots: u32,
    meter: DemandMeter,
    levels: VecDeque<f64>,
    trees: Vec<Tree>,
    waiting: VecDeque<(usize, u32)>,
    running: Vec<(u64, usize, u32)>,
    rng: Rng,
    at: u64,
}

impl Deep {
    fn new(seed: u64) -> Deep {
        Deep {
            slots: SLOTS,
            meter: DemandMeter::default(),
            levels: VecDeque::new(),
            trees: Vec::new(),
            waiting: VecDeque::new(),
            running: Vec::new(),
            rng: Rng::new(seed),
            at: 0,
        }
    }

    /// Lets trees arrive at a rate, in multiples of what the usual slots can carry.
    fn run(&mut self, seconds: u64, demand: f64) -> Count {
        let before = self.trees.len();
        let mut calls = 0;
        for _ in 0..seconds * 1_000 / STEP_MS {
            self.at += STEP_MS;
            calls += self.step(demand);
        }
        let old = |tree: &&Tree| tree.deadline <= self.at;
        let trees: Vec<&Tree> = self.trees[before..].iter().filter(old).collect();
        let whole = |tree: &&&Tree| tree.calls_done == CHAINS * CHAIN_CALLS;
        let wasted = trees.iter().filter(|tree| !whole(tree)).map(|tree| tree.calls_done).sum();
        Count { trees: trees.iter().filter(whole).count() as u32, calls, wasted_calls: wasted }
    }

    fn step(&mut self, demand: f64) -> u32 {
        let trees_per_ms = f64::from(SLOTS) / (CALL_MS as f64) / f64::from(CHAINS * CHAIN_CALLS);
        if self.rng.chance(demand * trees_per_ms * STEP_MS as f64) {
            self.arrive();
        }
        let ended = self.end_calls();
        self.start_calls();
        if self.at.is_multiple_of(TICK.as_millis() as u64) {
            let wait = self.waiting.len() as u64 * CALL_MS / u64::from(self.slots);
            self.meter.end_period(
                Timestamp::from_millis(self.at),
                self.slots,
                Duration::from_millis(wait),
            );
            self.levels.push_back(self.meter.level());
            if self.levels.len() as u64 > LEVEL_DELAY_MS / TICK.as_millis() as u64 {
                self.levels.pop_front();
            }
        }
        ended
    }

    fn arrive(&mut self) {
        let level = self.levels.front().copied().unwrap_or(0.0);
        if !self.rng.chance(admitted_share(level, Rank(1))) {
            return;
        }
        self.trees.push(Tree { deadline: self.at + TREE_MS, calls_done: 0 });
        (0..CHAINS).for_each(|_| self.call(self.trees.len() - 1, 1));
    }

    fn call(&mut self, tree: usize, number: u32) {
        self.meter.record_arrival(Duration::from_millis(CALL_MS));
        self.waiting.push_back((tree, number));
    }

    fn end_calls(&mut self) -> u32 {
        let at = self.at;
        let (ended, running): (Vec<_>, Vec<_>) =
            std::mem::take(&mut self.running).into_iter().partition(|(end, ..)| *end <= at);
        self.running = running;
        for (_, tree, number) in &ended {
            self.trees[*tree].calls_done += 1;
            if *number < CHAIN_CALLS && at < self.trees[*tree].deadline {
                self.call(*tree, number + 1);
            }
        }
        ended.len() as u32
    }

    fn start_calls(&mut self) {
        while self.running.len() < self.slots as usize {
            let Some((tree, number)) = self.waiting.pop_front() else {
                return;
            };
            if self.at < self.trees[tree].deadline {
                self.running.push((self.at + CALL_MS, tree, number));
            }
        }
    }
}

/// Checks that under 3% of the deep service's work is wasted, and that its slots are used as
/// far as random arrivals allow: a service of n slots needs about 1 in the root of n to spare.
fn assert_settled(count: &Count, seconds: u32, slots: u32, case: &str) {
    let capacity = seconds * slots * 1_000 / CALL_MS as u32;
    let wasted = f64::from(count.wasted_calls) / f64::from(count.calls.max(1));
    assert!(wasted < 0.03, "{case}: {wasted:.3} of the work is wasted");
    let used = f64::from(count.trees * CHAINS * CHAIN_CALLS) / f64::from(capacity);
    let least = 1.0 - 1.0 / f64::from(slots).sqrt();
    assert!(used > least, "{case}: {used:.3} of the slots' time was of use");
}

#[test]
fn shedding_settles_under_lasting_overload() {
    for seed in 0..10 {
        for demand in [1.2, 1.5, 2.0, 3.0, 5.0] {
            let mut deep = Deep::new(seed);
            deep.run(5, demand);
            let count = deep.run(20, demand);
            assert_settled(&count, 20, SLOTS, &format!("seed {seed}, demand {demand}"));
        }
    }
}

#[test]
fn shedding_settles_after_half_of_the_slots_are_lost() {
    for seed in 0..10 {
        let mut deep = Deep::new(seed);
        deep.run(5, 0.9);
        deep.slots = SLOTS / 2;
        deep.run(4, 0.9);
        let count = deep.run(10, 0.9);
        assert_settled(&count, 10, SLOTS / 2, &format!("seed {seed}"));
    }
}

#[test]
fn shedding_ends_soon_after_overload() {
    for seed in 0..10 {
        let mut deep = Deep::new(seed);
        deep.run(10, 3.0);
        deep.run(3, 0.7);
        let before = deep.trees.len();
        deep.run(5, 0.7);
        let share = (deep.trees.len() - before) as f64 / (5.0 * 0.7 * 40.0);
        assert!(share > 0.85, "seed {seed}: {share:.3} let in after the overload");
    }
}
