//! What happens to a fleet.

use std::time::Duration;

use snipehollow_core::rng::Rng;

/// Something that happens to a fleet.
#[derive(Clone, Debug, PartialEq)]
pub enum FleetOp {
    /// A host dies without a word.
    Kill(usize),
    /// A killed host starts again under its old name.
    Restart(usize),
    /// A host's process is paused.
    Pause(usize, Duration),
    /// A host leaves by plan.
    Leave(usize),
    /// The hosts below this number are cut off from the others.
    Partition(usize),
    /// The partition heals.
    Heal,
    /// A configuration is committed and reaches this host first.
    Commit(usize),
}

/// A run of a fleet.
#[derive(Clone, Debug)]
pub struct FleetPlan {
    /// Hosts, all of one zone.
    pub hosts: usize,
    /// Share of messages that are lost.
    pub loss_rate: f64,
    /// Longest delay of a message.
    pub max_delay: Duration,
    /// What happens, and when.
    pub schedule: Vec<(Duration, FleetOp)>,
    /// Length of the run.
    pub duration: Duration,
    /// Time at the end without disturbance and loss, after which all must agree.
    pub settle_time: Duration,
    /// Seed of the network and the protocol.
    pub seed: u64,
}

impl FleetPlan {
    /// Creates an undisturbed run.
    pub fn new(hosts: usize, duration: Duration, seed: u64) -> FleetPlan {
        FleetPlan {
            hosts,
            loss_rate: 0.0,
            max_delay: Duration::from_millis(5),
            schedule: Vec::new(),
            duration,
            settle_time: Duration::ZERO,
            seed,
        }
    }

    /// Adds a disturbance.
    pub fn with(mut self, at: Duration, disturbance: FleetOp) -> FleetPlan {
        self.schedule.push((at, disturbance));
        self
    }

    /// Creates a run of a dozen hosts with a random schedule.
    pub fn random(seed: u64) -> FleetPlan {
        let mut rng = Rng::new(seed);
        let hosts = 4 + rng.below(9);
        let mut plan = FleetPlan::new(hosts, Duration::from_secs(240), seed);
        plan.loss_rate = rng.unit() * 0.1;
        plan.max_delay = Duration::from_millis(1 + rng.below(200) as u64);
        plan.settle_time = Duration::from_secs(120);
        let disturbed = plan.duration - plan.settle_time;
        for _ in 0..rng.below(16) {
            let at = disturbed.mul_f64(rng.unit());
            plan.schedule.push((at, disturbance(&mut rng, hosts)));
        }
        plan.schedule.push((disturbed, FleetOp::Heal));
        plan.schedule.sort_by_key(|(at, _)| *at);
        plan
    }
}

fn disturbance(rng: &mut Rng, hosts: usize) -> FleetOp {
    let host = rng.below(hosts);
    match rng.below(8) {
        0 => FleetOp::Kill(host),
        1 => FleetOp::Restart(host),
        2 => FleetOp::Pause(host, Duration::from_millis(500 + rng.below(15_000) as u64)),
        3 => FleetOp::Leave(host),
        4 => FleetOp::Partition(1 + rng.below(hosts - 1)),
        5 => FleetOp::Heal,
        _ => FleetOp::Commit(host),
    }
}
