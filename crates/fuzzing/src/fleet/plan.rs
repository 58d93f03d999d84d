//! Parameters of a run of a fleet and its schedule of operations.

use std::time::Duration;

use snipehollow_core::rng::Rng;

/// An operation on a fleet. Hosts are given by their indexes.
#[derive(Clone, Debug, PartialEq)]
pub enum FleetOp {
    /// Kills a host without notifying the others.
    Kill(usize),
    /// Starts a killed host again under its old name.
    Restart(usize),
    /// Pauses the process of a host for a time.
    Pause(usize, Duration),
    /// Makes a host leave the fleet and notify the others.
    Leave(usize),
    /// Separates the hosts with an index below this one from the others.
    Partition(usize),
    /// Ends the partition.
    Heal,
    /// Commits a configuration, which this host receives first.
    Commit(usize),
}

/// Parameters of a run of a fleet.
#[derive(Clone, Debug)]
pub struct FleetPlan {
    /// Number of hosts, all in one zone.
    pub hosts: usize,
    /// Probability that a message is lost, from 0 to 1.
    pub loss_rate: f64,
    /// Maximum delay of a message.
    pub max_delay: Duration,
    /// Operations, sorted by their time from the start of the run.
    pub schedule: Vec<(Duration, FleetOp)>,
    /// Simulated duration of the run.
    pub duration: Duration,
    /// Time at the end of the run in which no message is lost and no operation should be
    /// scheduled. All live hosts must agree after it; zero if this is not checked.
    pub settle_time: Duration,
    /// Seed of all random choices of the network and of the hosts.
    pub seed: u64,
}

impl FleetPlan {
    /// Creates a plan without operations and message loss, and without a settle time.
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

    /// Appends an operation. The caller keeps `schedule` sorted by time.
    pub fn with(mut self, at: Duration, op: FleetOp) -> FleetPlan {
        self.schedule.push((at, op));
        self
    }

    /// Creates a random plan for 4 to 12 hosts, with up to 15 operations before the settle time.
    pub fn random(seed: u64) -> FleetPlan {
        let mut rng = Rng::new(seed);
        let hosts = 4 + rng.below(9);
        let mut plan = FleetPlan::new(hosts, Duration::from_secs(240), seed);
        plan.loss_rate = rng.unit() * 0.1;
        plan.max_delay = Duration::from_millis(1 + rng.below(200) as u64);
        plan.settle_time = Duration::from_secs(120);
        let ops_end = plan.duration - plan.settle_time;
        for _ in 0..rng.below(16) {
            let at = ops_end.mul_f64(rng.unit());
            plan.schedule.push((at, random_op(&mut rng, hosts)));
        }
        plan.schedule.push((ops_end, FleetOp::Heal));
        plan.schedule.sort_by_key(|(at, _)| *at);
        plan
    }
}

fn random_op(rng: &mut Rng, hosts: usize) -> FleetOp {
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
