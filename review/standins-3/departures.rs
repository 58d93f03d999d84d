//! Cases about instances that leave.

use std::path::Path;
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

use crate::Verdict;
use crate::deployment::{Deployment, FOUR_ZONES, Load, TWO_ZONES, sleep_until};
use crate::machine::{HEARTBEAT, Machine};
use crate::record::Record;

/// `Drain` of the small sites: after it no request may reach an instance whose leaving was
/// acknowledged.
const DRAIN: Duration = Duration::from_millis(2_500);
/// `StableWindow` of the small sites.
const STABLE_WINDOW: Duration = Duration::from_millis(3_000);
const LOAD: Load = Load {
    interval: Duration::from_millis(50),
    work: Duration::from_millis(15),
    unique_bodies: false,
};

/// An instance reports that it drains; a heartbeat from before arrives late.
pub fn forgotten_draining(scratch: &Path, record: &Arc<Record>, trouble: bool) -> Verdict {
    /// How late the heartbeat arrives.
    const LATE: Duration = Duration::from_millis(7_500);
    /// How long the instance serves after the acknowledgement.
    const STAY: Duration = Duration::from_secs(15);
    let Some(deployment) = Deployment::start(FOUR_ZONES, &[1; 4], LOAD, scratch, record) else {
        return Verdict::NotRun;
    };
    let instance = Arc::clone(&deployment.instances[0]);
    deployment.stop_heartbeats(0);
    thread::sleep(HEARTBEAT);
    let last_ready = instance.heartbeat("ready");
    record.add(&format!("i-1 begins to send {last_ready}"));
    let late = Arc::clone(&instance);
    let delay = if trouble { LATE } else { Duration::ZERO };
    let sender = thread::spawn(move || {
        thread::sleep(delay);
        late.send("heartbeat", &last_ready);
    });
    thread::sleep(Duration::from_millis(300));
    instance.begin_to_leave();
    let draining = instance.heartbeat("draining");
    if !instance.send("heartbeat", &draining) {
        return Verdict::NotRun;
    }
    let acknowledged = Instant::now();
    record.add("the leaving of i-1 is acknowledged");
    thread::sleep(STAY);
    instance.send("deregister", &instance.deregistration());
    let end = Instant::now();
    thread::sleep(Duration::from_millis(500));
    instance.end();
    let _ = sender.join();
    deployment.ran_between(0, acknowledged + DRAIN, end)
}

/// An instance leaves while the store is down; then all processes are killed.
pub fn unsaved_departure(scratch: &Path, record: &Arc<Record>, trouble: bool) -> Verdict {
    const OUTAGE: Duration = Duration::from_millis(4_500);
    /// Time from the beginning of the outage to the departure.
    const LEAVES_AT: Duration = Duration::from_millis(1_000);
    /// Time from the beginning of the outage to the kill.
    const KILLED_AT: Duration = Duration::from_millis(4_000);
    /// Time from the kill to the restart.
    const DOWN: Duration = Duration::from_millis(1_000);
    /// How late the last heartbeat before the departure arrives.
    const LATE: Duration = Duration::from_millis(5_500);
    const STAY: Duration = Duration::from_secs(12);
    let Some(mut deployment) = Deployment::start(TWO_ZONES, &[2, 2], LOAD, scratch, record) else {
        return Verdict::NotRun;
    };
    let instance = Arc::clone(&deployment.instances[0]);
    let begin = Instant::now();
    if trouble {
        record.add("the store falls silent");
        deployment.store.set_silent(true);
    }
    let store = Arc::clone(&deployment.store);
    let (shared, outage_end) = (Arc::clone(record), begin + OUTAGE);
    thread::spawn(move || {
        thread::sleep(outage_end.saturating_duration_since(Instant::now()));
        store.set_silent(false);
        shared.add("the store answers again");
    });
    deployment.stop_heartbeats(0);
    sleep_until(begin + LEAVES_AT);
    let last_ready = instance.heartbeat("ready");
    record.add(&format!("i-1 begins to send {last_ready}"));
    let late = Arc::clone(&instance);
    let sender = thread::spawn(move || {
        thread::sleep(LATE);
        late.send("heartbeat", &last_ready);
    });
    instance.begin_to_leave();
    if !instance.send("deregister", &instance.deregistration()) {
        return Verdict::NotRun;
    }
    let acknowledged = Instant::now();
    record.add("the leaving of i-1 is acknowledged");
    sleep_until(begin + KILLED_AT);
    if trouble {
        record.add("all nodes are killed");
        deployment.machines.iter_mut().for_each(Machine::kill);
        sleep_until(begin + KILLED_AT + DOWN);
        deployment.machines.iter_mut().for_each(Machine::start);
        record.add("all nodes are started again");
    }
    // Some time for the start of four processes, one after the other.
    let in_touch = begin + KILLED_AT + DOWN + Duration::from_millis(500) + STABLE_WINDOW;
    sleep_until(acknowledged + STAY);
    let end = Instant::now();
    instance.end();
    let _ = sender.join();
    deployment.ran_between(0, in_touch.max(acknowledged + DRAIN), end)
}
