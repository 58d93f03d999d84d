//! The rate limit that an upstream names, at its gate.

use std::time::Duration;

use snipehollow_core::admission::{Action, Arrival, Completion, Gate, GateConfig};
use snipehollow_core::class::{ClassPolicy, Rank};
use snipehollow_core::ids::{CallerKey, ClassName, TryId};
use snipehollow_core::reason::Reason;
use snipehollow_core::time::Timestamp;

const STEP: Duration = Duration::from_millis(10);
const SERVICE_TIME: Duration = Duration::from_millis(50);

/// A gate with an upstream that names a rate limit, in logical time.
struct Simulation {
    gate: Gate,
    now: Timestamp,
    last_id: u64,
    running: Vec<(TryId, Timestamp)>,
    dispatched: Vec<Timestamp>,
    refused: Vec<Reason>,
}

impl Simulation {
    fn new() -> Simulation {
        let cfg = GateConfig::new().with_adaptive(false);
        Simulation {
            gate: Gate::new(cfg, 40),
            now: Timestamp::ZERO,
            last_id: 0,
            running: Vec::new(),
            dispatched: Vec::new(),
            refused: Vec::new(),
        }
    }

    /// Runs for `length` with one arrival per step. Responses name `limit`.
    fn run(&mut self, length: Duration, limit: Option<f64>) {
        let end = self.now + length;
        while self.now < end {
            self.now = self.now + STEP;
            self.last_id += 1;
            let class = ClassPolicy::new(ClassName::new("read").unwrap(), Rank(0));
            let caller = CallerKey::new("c").unwrap();
            let arrival = Arrival {
                id: TryId(self.last_id),
                class: &class,
                caller: &caller,
                deadline: self.now + Duration::from_secs(1),
            };
            let actions = self.gate.handle_arrival(self.now, &arrival);
            self.execute(actions);
            let actions = self.gate.tick(self.now);
            self.execute(actions);
            self.finish(limit);
        }
    }

    fn execute(&mut self, actions: Vec<Action>) {
        for action in actions {
            match action {
                Action::Dispatch(id) => {
                    self.running.push((id, self.now));
                    self.dispatched.push(self.now);
                }
                Action::Refuse(_, reason) => self.refused.push(reason),
                Action::Wait(_) => {}
            }
        }
    }

    fn finish(&mut self, limit: Option<f64>) {
        let now = self.now;
        let done = self.running.extract_if(.., |(_, start)| now.since(*start) >= SERVICE_TIME);
        for (id, start) in done.collect::<Vec<_>>() {
            self.gate.observe_rate_limit(now, start, limit);
            let actions = self.gate.finish(now, id, Completion::Succeeded, SERVICE_TIME);
            self.execute(actions);
        }
    }

    /// Returns the highest number of requests dispatched in any 4 s since `from`.
    fn most_in_window(&self, from: Timestamp) -> usize {
        let times: Vec<_> = self.dispatched.iter().filter(|time| **time >= from).collect();
        let window = Duration::from_secs(4);
        let count = |start: &Timestamp| {
            times.iter().filter(|time| ***time >= *start && ***time < *start + window).count()
        };
        times.iter().map(|start| count(start)).max().unwrap_or(0)
    }
}

/// Guards against a limit that is exceeded, or hardly used, while it is named, lowered, raised, or 0.
#[test]
fn gate_keeps_to_a_limit_that_is_named_changed_and_ended() {
    let mut sim = Simulation::new();
    sim.run(Duration::from_secs(2), None);
    assert!(sim.dispatched.len() > 150, "{}", sim.dispatched.len());
    for limit in [20.0, 5.0, 12.5, 0.0, 0.1] {
        // The new limit is known after one response.
        sim.run(Duration::from_secs(2), Some(limit));
        let from = sim.now;
        sim.run(Duration::from_secs(12), Some(limit));
        let most = sim.most_in_window(from) as f64;
        assert!(most <= 1.5 * limit * 4.0 + 5.0, "{most} in 4 s at a limit of {limit}");
        let sent = sim.dispatched.iter().filter(|time| **time >= from).count() as f64;
        assert!(sent >= 0.9 * limit * 12.0, "{sent} in 12 s at a limit of {limit}");
        assert!(sent > 0.0, "nothing was sent, so the end of the limit would not be noticed");
    }
    sim.run(Duration::from_secs(3), None);
    assert_eq!(sim.gate.rate_limit(), None);
    let from = sim.now;
    sim.run(Duration::from_secs(2), None);
    let sent = sim.dispatched.iter().filter(|time| **time >= from).count();
    assert!(sent > 150, "{sent} in 2 s after the limit has ended");
}

/// Guards against requests that wait for a turn which the limit gives them only after their
/// deadline: they must be refused at once.
#[test]
fn request_that_the_limit_would_delay_past_its_deadline_is_refused_on_arrival() {
    let mut sim = Simulation::new();
    sim.run(Duration::from_secs(10), Some(5.0));
    let late = sim.refused.iter().filter(|reason| **reason == Reason::DeadlinePassed).count();
    assert_eq!(late, 0, "of {} refused", sim.refused.len());
    let level = sim.gate.load_level();
    assert!(level.limit <= 1, "entry nodes are told of {} free slots", level.limit);
}

/// Guards against a limit that ends because responses are handled in another order than they were
/// sent.
#[test]
fn late_response_does_not_end_the_limit() {
    let ms = Timestamp::from_millis;
    let mut gate = Gate::new(GateConfig::new(), 4);
    gate.observe_rate_limit(ms(50), ms(10), Some(2.0));
    gate.observe_rate_limit(ms(60), ms(20), None);
    assert_eq!(gate.rate_limit(), Some(2.0), "the response is older than the limit");
    gate.observe_rate_limit(ms(90), ms(55), None);
    assert_eq!(gate.rate_limit(), None);
}

/// Guards against a burst after a pause of the process, in which the bucket must not fill without
/// bounds.
#[test]
fn tokens_saved_in_a_pause_are_bounded() {
    let mut sim = Simulation::new();
    sim.run(Duration::from_secs(4), Some(10.0));
    sim.now = sim.now + Duration::from_secs(60);
    let from = sim.now;
    sim.run(Duration::from_secs(4), Some(10.0));
    assert!(sim.most_in_window(from) <= 65, "{}", sim.most_in_window(from));
}
