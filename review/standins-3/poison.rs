//! Case about a request that crashes each instance which runs it.

use std::path::Path;
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

use crate::Verdict;
use crate::deployment::{Deployment, FOUR_ZONES, Load, send_order, start_heartbeats};
use crate::instance::Instance;
use crate::record::Record;

/// 32 orders a second at all eight machines together.
const LOAD: Load = Load { interval: Duration::from_millis(250), work: WORK, unique_bodies: true };
/// The interval between two orders at one machine during a burst: 80 orders a second at all.
const BURST_INTERVAL: Duration = Duration::from_millis(100);
/// Time that an instance works on an order.
const WORK: Duration = Duration::from_millis(290);
/// The same while the instance is slow.
const SLOW_WORK: Duration = Duration::from_millis(1_450);
/// How long an instance is slow, and orders come in a burst, before it crashes.
const SLOW: Duration = Duration::from_millis(2_000);
/// Time after a crash until an instance is back.
const DOWN: Duration = Duration::from_secs(3);
/// Number of crashes before the poisonous request comes.
const CRASHES: usize = 10;
/// Time from one of these crashes to the next.
const CRASH_INTERVAL: Duration = Duration::from_millis(3_500);
/// Number of poisonous requests, one after the other, until one breaks the rule.
const POISONS: usize = 2;
/// How often the caller of each sends it, and the time between.
const SENDS: usize = 8;
const SEND_INTERVAL: Duration = Duration::from_secs(4);
/// `StableWindow` of the small sites.
const STABLE_WINDOW: Duration = Duration::from_millis(3_000);
/// Number of crashes after which the request has to be kept away.
const FREE_CRASHES: usize = 3;
/// Number of retries that may still reach an instance after that.
const MAX_RETRIES: usize = 3;

/// Starts crashed instances again.
struct Restarts {
    crashed: Vec<Option<Instant>>,
    count: usize,
}

impl Restarts {
    /// Waits until a point in time; instances that have been down for [`DOWN`] are started again.
    fn wait(
        &mut self,
        deployment: &mut Deployment,
        until: Instant,
        ended: &mut Vec<Arc<Instance>>,
    ) {
        while Instant::now() < until {
            for index in 0..self.crashed.len() {
                self.check(deployment, index, ended);
            }
            thread::sleep(Duration::from_millis(20));
        }
    }

    fn check(&mut self, deployment: &mut Deployment, index: usize, ended: &mut Vec<Arc<Instance>>) {
        if !deployment.instances[index].has_ended() {
            return;
        }
        deployment.stop_heartbeats(index);
        let since = *self.crashed[index].get_or_insert_with(Instant::now);
        if since.elapsed() < DOWN {
            return;
        }
        self.crashed[index] = None;
        self.count += 1;
        let id = format!("i-{}-{}", index + 1, self.count);
        let machine = &deployment.machines[index];
        let back = Instance::start(&id, machine, WORK, &deployment.record);
        deployment.beating[index] = start_heartbeats(&back);
        ended.push(std::mem::replace(&mut deployment.instances[index], back));
    }
}

/// After some crashes of instances, a request comes that crashes each instance which runs it.
pub fn hidden_quarantine(scratch: &Path, record: &Arc<Record>, trouble: bool) -> Verdict {
    let Some(mut deployment) = Deployment::start(FOUR_ZONES, &[2; 4], LOAD, scratch, record) else {
        return Verdict::NotRun;
    };
    let count = deployment.machines.len();
    let mut restarts = Restarts { crashed: vec![None; count], count: 0 };
    let mut ended = Vec::new();
    for crash in 0..if trouble { CRASHES } else { 0 } {
        let begin = Instant::now();
        let instance = Arc::clone(&deployment.instances[crash % count]);
        instance.set_work(SLOW_WORK);
        deployment.set_interval(BURST_INTERVAL);
        restarts.wait(&mut deployment, begin + SLOW, &mut ended);
        record.add(&format!("{} crashes", instance.id));
        instance.crash();
        deployment.set_interval(LOAD.interval);
        restarts.wait(&mut deployment, begin + CRASH_INTERVAL, &mut ended);
    }
    restarts.wait(&mut deployment, Instant::now() + DOWN, &mut ended);
    for poison in 1..=POISONS {
        for send in 0..SENDS {
            let to = deployment.machines[send % count].outbound();
            let (id, shared) = (format!("p{poison}{send:014x}"), Arc::clone(record));
            let body = format!("poison {poison}");
            let next = Instant::now() + SEND_INTERVAL;
            thread::spawn(move || {
                let status = send_order(to, &id, &body);
                shared.add(&format!("poisonous request {id}: {status}"));
            });
            restarts.wait(&mut deployment, next, &mut ended);
        }
        let mut all = ended.clone();
        all.extend(deployment.instances.iter().cloned());
        if late_retries(&all, poison, record) > MAX_RETRIES {
            return Verdict::Broken;
        }
    }
    Verdict::Held
}

/// Returns how many retries of a poisonous request reached an instance too late.
fn late_retries(instances: &[Arc<Instance>], poison: usize, record: &Record) -> usize {
    let mut runs: Vec<_> = instances.iter().flat_map(|instance| instance.runs()).collect();
    runs.retain(|(_, id)| id.starts_with(&format!("p{poison}")));
    runs.sort();
    let Some((third, _)) = runs.get(FREE_CRASHES - 1) else {
        record.add(&format!("request p{poison} crashed {} instances", runs.len()));
        return 0;
    };
    let late = runs.iter().filter(|(at, _)| *at > *third + STABLE_WINDOW).count();
    record.add(&format!(
        "request p{poison} crashed {} instances, {late} of them later than the stable window after \
         the third",
        runs.len()
    ));
    late
}
