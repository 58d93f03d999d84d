//! Shedding levels of gates, and whether load shedding based on them converges.

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

/// Runs a meter for a number of ticks at a constant demand, in multiples of the slots, and a
/// constant wait.
fn run_meter(meter: &mut DemandMeter, now: &mut Timestamp, demand: f64, wait_ms: u64, ticks: u32) {
    for _ in 0..ticks {
        *now = *now + TICK;
        meter.record_arrival(TICK.mul_f64(demand * f64::from(SLOTS)));
        meter.end_period(*now, SLOTS, Duration::from_millis(wait_ms));
    }
}

#[test]
fn level_rises_with_demand_and_falls_without() {
    let (mut meter, mut now) = (DemandMeter::default(), Timestamp::ZERO);
    run_meter(&mut meter, &mut now, 0.9, 10, 50);
    assert_eq!(meter.level(), 0.0);
    run_meter(&mut meter, &mut now, 1.5, 200, 20);
    assert!(meter.level() > 0.5, "{}", meter.level());
    run_meter(&mut meter, &mut now, 0.4, 0, 60);
    assert_eq!(meter.level(), 0.0);
}

#[test]
fn level_ignores_demand_without_wait() {
    let (mut meter, mut now) = (DemandMeter::default(), Timestamp::ZERO);
    run_meter(&mut meter, &mut now, 1.2, 10, 50);
    assert_eq!(meter.level(), 0.0);
}

/// The limit of a new gate is far below the announced slots; compared with it, normal demand would
/// look like overload.
#[test]
fn demand_on_a_new_adaptive_gate_is_compared_with_announced_slots() {
    let new_gate = Gate::new(GateConfig::new(), 40);
    assert!(new_gate.limit() < 40, "{}", new_gate.limit());
    assert_eq!(new_gate.capacity(), 40);
    let fixed = Gate::new(GateConfig::new().with_adaptive(false).with_slot_share(0.95), 40);
    assert_eq!(fixed.capacity(), fixed.limit());
}

/// A queue that is empty again one tick later is a burst, not a lasting overload.
#[test]
fn level_ignores_short_bursts() {
    let (mut meter, mut now) = (DemandMeter::default(), Timestamp::ZERO);
    run_meter(&mut meter, &mut now, 0.5, 0, 10);
    for _ in 0..10 {
        run_meter(&mut meter, &mut now, 8.0, 300, 1);
        assert_eq!(meter.level(), 0.0);
        run_meter(&mut meter, &mut now, 0.0, 0, 1);
        assert_eq!(meter.level(), 0.0);
    }
}

#[test]
fn most_urgent_rank_is_shed_last() {
    let (mut meter, mut now) = (DemandMeter::default(), Timestamp::ZERO);
    run_meter(&mut meter, &mut now, 2.0, 400, 10);
    assert!(meter.level() < 1.0, "{}", meter.level());
    run_meter(&mut meter, &mut now, 2.0, 400, 100);
    assert!(meter.level() > 1.2, "{}", meter.level());
}

#[test]
fn admitted_share_depends_on_rank() {
    assert!((admitted_share(0.6, Rank(1)) - 0.4).abs() < 0.01);
    assert_eq!(admitted_share(0.6, Rank(0)), 1.0);
    assert!((admitted_share(1.5, Rank(0)) - 0.5).abs() < 0.01);
    assert!(admitted_share(1.9, Rank(3)) > 0.0);
}

#[test]
fn reported_level_decays_without_reports() {
    let now = Timestamp::from_millis(5);
    let mut level = ReportedLevel::default();
    level.record_level(now, 1_000);
    assert!(level.get(now) > 0.9);
    assert!(level.get(now + Duration::from_secs(8)) < 0.05);
}

#[test]
fn shedding_levels_text_round_trip() {
    for levels in [SheddingLevels::new(0.0, 0.0, false), SheddingLevels::new(0.5, 1.234, true)] {
        assert_eq!(SheddingLevels::parse(&levels.to_string()), Some(levels));
    }
    for text in ["", "1", "1/1", "x/1/root", "-1/1/root", "70000/1/root", "1/1/leaf", "1/1/root/"] {
        assert_eq!(SheddingLevels::parse(text), None, "{text}");
    }
}

/// Duration of one simulated step.
const STEP_MS: u64 = 5;
/// Duration for which a call holds a slot.
const CALL_DURATION_MS: u64 = 50;
/// Deadline of a call tree, counted from its arrival; a tree that is incomplete by then fails.
const TREE_DEADLINE_MS: u64 = 1_500;
/// Number of chains of calls that a call tree makes concurrently.
const CHAINS_PER_TREE: u32 = 2;
/// Number of sequential calls in one chain.
const CALLS_PER_CHAIN: u32 = 4;
/// Delay with which a level of the gate reaches the entry nodes.
const LEVEL_DELAY_MS: u64 = 300;

struct CallTree {
    deadline_ms: u64,
    calls_done: u32,
}

#[derive(Default)]
struct Totals {
    completed_trees: u32,
    calls: u32,
    wasted_calls: u32,
}

/// Simulation of a service with one gate, which receives all calls of the call trees, and of entry
/// nodes that shed root requests by the level of that gate.
struct OverloadSimulation {
    slots: u32,
    meter: DemandMeter,
    /// Levels that have not reached the entry nodes yet, oldest first.
    levels: VecDeque<f64>,
    trees: Vec<CallTree>,
    /// Index of the call tree and number of the call in its chain.
    waiting: VecDeque<(usize, u32)>,
    /// End in milliseconds, then as in `waiting`.
    running: Vec<(u64, usize, u32)>,
    rng: Rng,
    now_ms: u64,
}

impl OverloadSimulation {
    fn new(seed: u64) -> OverloadSimulation {
        OverloadSimulation {
            slots: SLOTS,
            meter: DemandMeter::default(),
            levels: VecDeque::new(),
            trees: Vec::new(),
            waiting: VecDeque::new(),
            running: Vec::new(),
            rng: Rng::new(seed),
            now_ms: 0,
        }
    }

    /// Runs the simulation with call trees that arrive at random.
    ///
    /// `demand` is their rate in multiples of what [`SLOTS`] slots can run. Returns the number
    /// of calls that ended in this run, and the complete trees and wasted calls among the trees
    /// that both arrived and reached their deadline in it.
    fn run(&mut self, seconds: u64, demand: f64) -> Totals {
        let first_tree = self.trees.len();
        let mut calls = 0;
        for _ in 0..seconds * 1_000 / STEP_MS {
            self.now_ms += STEP_MS;
            calls += self.step(demand);
        }
        let is_due = |tree: &&CallTree| tree.deadline_ms <= self.now_ms;
        let trees: Vec<&CallTree> = self.trees[first_tree..].iter().filter(is_due).collect();
        let is_complete = |tree: &&&CallTree| tree.calls_done == CHAINS_PER_TREE * CALLS_PER_CHAIN;
        let wasted =
            trees.iter().filter(|tree| !is_complete(tree)).map(|tree| tree.calls_done).sum();
        Totals {
            completed_trees: trees.iter().filter(is_complete).count() as u32,
            calls,
            wasted_calls: wasted,
        }
    }

    fn step(&mut self, demand: f64) -> u32 {
        let trees_per_ms = f64::from(SLOTS)
            / (CALL_DURATION_MS as f64)
            / f64::from(CHAINS_PER_TREE * CALLS_PER_CHAIN);
        if self.rng.chance(demand * trees_per_ms * STEP_MS as f64) {
            self.arrive();
        }
        let ended = self.end_calls();
        self.dispatch_calls();
        if self.now_ms.is_multiple_of(TICK.as_millis() as u64) {
            let wait = self.waiting.len() as u64 * CALL_DURATION_MS / u64::from(self.slots);
            self.meter.end_period(
                Timestamp::from_millis(self.now_ms),
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
        self.trees.push(CallTree { deadline_ms: self.now_ms + TREE_DEADLINE_MS, calls_done: 0 });
        (0..CHAINS_PER_TREE).for_each(|_| self.call(self.trees.len() - 1, 1));
    }

    fn call(&mut self, tree: usize, number: u32) {
        self.meter.record_arrival(Duration::from_millis(CALL_DURATION_MS));
        self.waiting.push_back((tree, number));
    }

    fn end_calls(&mut self) -> u32 {
        let now_ms = self.now_ms;
        let (ended, running): (Vec<_>, Vec<_>) =
            std::mem::take(&mut self.running).into_iter().partition(|(end, ..)| *end <= now_ms);
        self.running = running;
        for (_, tree, number) in &ended {
            self.trees[*tree].calls_done += 1;
            if *number < CALLS_PER_CHAIN && now_ms < self.trees[*tree].deadline_ms {
                self.call(*tree, number + 1);
            }
        }
        ended.len() as u32
    }

    fn dispatch_calls(&mut self) {
        while self.running.len() < self.slots as usize {
            let Some((tree, number)) = self.waiting.pop_front() else {
                return;
            };
            if self.now_ms < self.trees[tree].deadline_ms {
                self.running.push((self.now_ms + CALL_DURATION_MS, tree, number));
            }
        }
    }
}

/// Asserts that less than 3% of the calls belong to call trees that failed, and that complete
/// trees use the slots as far as random arrivals allow: with n slots, a share of about
/// 1 / sqrt(n) stays unused.
fn assert_settled(totals: &Totals, seconds: u32, slots: u32, case: &str) {
    let capacity = seconds * slots * 1_000 / CALL_DURATION_MS as u32;
    let wasted = f64::from(totals.wasted_calls) / f64::from(totals.calls.max(1));
    assert!(wasted < 0.03, "{case}: {wasted:.3} of the calls were wasted");
    let used =
        f64::from(totals.completed_trees * CHAINS_PER_TREE * CALLS_PER_CHAIN) / f64::from(capacity);
    let min_used = 1.0 - 1.0 / f64::from(slots).sqrt();
    assert!(used > min_used, "{case}: {used:.3} of the slot time was used by complete call trees");
}

#[test]
fn shedding_settles_under_lasting_overload() {
    for seed in 0..10 {
        for demand in [1.2, 1.5, 2.0, 3.0, 5.0] {
            let mut simulation = OverloadSimulation::new(seed);
            simulation.run(5, demand);
            let totals = simulation.run(20, demand);
            assert_settled(&totals, 20, SLOTS, &format!("seed {seed}, demand {demand}"));
        }
    }
}

#[test]
fn shedding_settles_after_half_of_the_slots_are_lost() {
    for seed in 0..10 {
        let mut simulation = OverloadSimulation::new(seed);
        simulation.run(5, 0.9);
        simulation.slots = SLOTS / 2;
        simulation.run(4, 0.9);
        let totals = simulation.run(10, 0.9);
        assert_settled(&totals, 10, SLOTS / 2, &format!("seed {seed}"));
    }
}

#[test]
fn shedding_stops_soon_after_overload() {
    for seed in 0..10 {
        let mut simulation = OverloadSimulation::new(seed);
        simulation.run(10, 3.0);
        simulation.run(3, 0.7);
        let first_tree = simulation.trees.len();
        simulation.run(5, 0.7);
        // At a demand of 1, 40 call trees arrive per second.
        let share = (simulation.trees.len() - first_tree) as f64 / (5.0 * 0.7 * 40.0);
        assert!(
            share > 0.85,
            "seed {seed}: {share:.3} of the call trees admitted after the overload"
        );
    }
}
