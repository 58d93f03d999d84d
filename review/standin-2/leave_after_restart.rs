//! An instance leaves while the store is down, and its node is restarted before the store is back.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread;
use std::time::Duration;

use crate::client::Request;
use crate::deployment::{Deployment, HOST, Route};
use crate::fleet::Machine;
use crate::instance::{Instance, answer};
use crate::record::Record;

/// `Drain` of the deployment.
const DRAIN: Duration = Duration::from_millis(2_500);
/// `StableWindow` of the deployment.
const STABLE_WINDOW: Duration = Duration::from_millis(3_000);
/// `Grace` of the deployment.
const GRACE: Duration = Duration::from_secs(6);
/// Pause before a process that ended is started again.
const RESTART_DELAY: Duration = Duration::from_millis(300);
const OUTAGE: Duration = Duration::from_secs(8);
/// Machines, half of them for the service of the instance that leaves.
const MACHINES: usize = 8;
const REQUEST_INTERVAL: Duration = Duration::from_millis(100);
/// How late the last heartbeat from before the leave arrives.
const HEARTBEAT_DELAY: Duration = Duration::from_millis(4_500);
/// How long the instance serves after it has deregistered.
const SERVES_ON: Duration = Duration::from_millis(14_000);

pub fn play(record: &Record, trouble: bool) -> std::io::Result<bool> {
    let mut machines = Vec::new();
    for number in 0..MACHINES {
        let service = if number < MACHINES / 2 { "orders" } else { "catalogue" };
        machines.push(Machine::new("gauteng-a", "gauteng", service)?);
    }
    let routes = [Route {
        name: "r-orders",
        prefix: "/puka111/",
        kind: "unsafe",
        timeout_ms: 1_500,
        service: "orders",
        attempts: 2,
    }];
    let mut deployment = Deployment::start(&machines, &routes, record)?;
    let work = Arc::new(|_: &Instance, request: &_, connection: &mut _| {
        thread::sleep(Duration::from_millis(20));
        answer(request, connection, &[b'x'; 600])
    });
    let leaving = Instance::start(&machines[0], "i-leaving", record, work.clone())?;
    for (number, machine) in machines.iter().enumerate().skip(1) {
        Instance::start(machine, &format!("i-{number}"), record, work.clone())?;
    }
    let stop = Arc::new(AtomicBool::new(false));
    let clients = start_clients(&machines[0], record, &stop);

    let begin = Duration::from_secs(7);
    record.wait_until(begin);
    if trouble {
        record.line("the store is down (silent)");
        deployment.store.set_silent(true);
    }
    record.wait_until(begin + Duration::from_millis(200));
    leaving.beating.store(false, Ordering::Release);
    let late = leaving.next_seq();
    record.line(&format!("instance {} sends heartbeat {late} (ready), which is late", leaving.id));
    let late_at = record.now() + HEARTBEAT_DELAY;
    record.wait_until(begin + Duration::from_millis(400));
    leaving.leaving.store(true, Ordering::Release);
    let left_at = record.now();
    if !leaving.deregister() {
        return Err(std::io::Error::other("the deregistration was not acknowledged"));
    }
    let acknowledged = record.now();

    let node = &mut deployment.nodes[0];
    node.signal("TERM")?;
    node.wait_end(GRACE)?;
    thread::sleep(RESTART_DELAY);
    node.spawn()?;
    let restarted = record.now();

    record.wait_until(late_at);
    leaving.beat(late, "ready");
    record.wait_until(begin + OUTAGE);
    if trouble {
        record.line("the store is back");
        deployment.store.set_silent(false);
    }
    record.wait_until(left_at + SERVES_ON);
    stop.store(true, Ordering::Release);
    let _ = clients.join();

    let core_stable = if trouble { begin + OUTAGE } else { Duration::ZERO };
    let in_touch = restarted.max(core_stable) + STABLE_WINDOW;
    let bound = in_touch.max(acknowledged + DRAIN);
    let arrivals = leaving.arrivals.lock().unwrap();
    let after_drain = arrivals.iter().filter(|at| **at > acknowledged + DRAIN).count();
    let broken = arrivals.iter().filter(|at| **at > bound).count();
    record.line(&format!(
        "leave acknowledged at {:.3}, all machines in touch from {:.3}: {after_drain} requests \
         reached the instance later than Drain after it, {broken} of them with all machines in touch",
        acknowledged.as_secs_f64(),
        in_touch.as_secs_f64()
    ));
    Ok(broken > 0)
}

/// Sends requests to a machine while it is ready.
fn start_clients(
    machine: &Machine,
    record: &Record,
    stop: &Arc<AtomicBool>,
) -> thread::JoinHandle<()> {
    let (machine, record, stop) = (machine.clone(), record.clone(), Arc::clone(stop));
    thread::spawn(move || {
        while !stop.load(Ordering::Acquire) {
            thread::sleep(REQUEST_INTERVAL);
            let (machine, record) = (machine.clone(), record.clone());
            thread::spawn(move || {
                if machine.is_ready() {
                    let deadline = Duration::from_millis(5_000);
                    let request = Request::post(HOST, "/puka111/2f", deadline, b"one net");
                    request.send(machine.outbound, &record);
                }
            });
        }
    })
}
