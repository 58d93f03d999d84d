//! The store turns away the machines that watch the configuration while it changes.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread;
use std::time::Duration;

use crate::client::Request;
use crate::deployment::{Deployment, HOST, Route, document};
use crate::fleet::Machine;
use crate::instance::{Instance, answer};
use crate::record::Record;

/// `ConfigApply` of the deployment.
const CONFIG_APPLY: Duration = Duration::from_millis(2_500);
/// `MaxSkew` of the deployment, by which an unstable core may stretch that bound.
const MAX_SKEW: Duration = Duration::from_millis(5_000);
const START: Duration = Duration::from_secs(12);
/// How long the store turns machines away.
const TURNED_AWAY: Duration = Duration::from_secs(9);
const ZONES: [(&str, &str); 4] = [
    ("gauteng-a", "gauteng"),
    ("gauteng-b", "gauteng"),
    ("wcape-a", "western-cape"),
    ("wcape-b", "western-cape"),
];
const MACHINES_PER_ZONE: usize = 6;
/// Largest share of the machines that the store may turn away.
const MAX_SHARE: f64 = 0.35;
const REQUEST_INTERVAL: Duration = Duration::from_millis(200);

pub fn play(record: &Record, trouble: bool) -> std::io::Result<bool> {
    let mut machines = Vec::new();
    for (zone, region) in ZONES {
        for number in 0..MACHINES_PER_ZONE {
            let service = if number % 2 == 0 { "orders" } else { "catalogue" };
            machines.push(Machine::new(zone, region, service)?);
        }
    }
    let route = |service| Route {
        name: "r-orders",
        prefix: "/puka111/",
        kind: "safe",
        timeout_ms: 1_500,
        service,
        attempts: 2,
    };
    let deployment = Deployment::start(&machines, &[route("orders")], record)?;
    let work = Arc::new(|_: &Instance, request: &_, connection: &mut _| {
        thread::sleep(Duration::from_millis(20));
        answer(request, connection, &[b'x'; 600])
    });
    let mut old = Vec::new();
    for (number, machine) in machines.iter().enumerate() {
        let instance = Instance::start(machine, &format!("i-{number}"), record, work.clone())?;
        if machine.service == "orders" {
            old.push(instance);
        }
    }
    record.wait_until(Duration::from_secs(6));
    deployment.store.take_watchers();
    record.wait_until(Duration::from_secs(10));
    let watchers = deployment.store.take_watchers();
    record.line(&format!("machines that watch: {watchers:?}"));
    if watchers.len() as f64 > machines.len() as f64 * MAX_SHARE {
        return Err(std::io::Error::other("too many machines watch"));
    }
    let calm: Vec<Machine> =
        machines.iter().filter(|machine| !watchers.contains(&machine.name)).cloned().collect();

    let stop = Arc::new(AtomicBool::new(false));
    let clients: Vec<_> = calm.iter().map(|machine| start_client(machine, record, &stop)).collect();
    record.wait_until(START);
    if trouble {
        record.line("the store gives these machines no answer any more");
        deployment.store.turn_away(watchers);
    }
    record.wait_until(START + Duration::from_millis(500));
    deployment.store.put_config(&document(2, &[route("catalogue")], &machines));
    let acknowledged = record.now();
    record.line("configuration 2 is acknowledged: the route goes to another service");
    record.wait_until(START + TURNED_AWAY);
    deployment.store.turn_away(Default::default());
    record.line("the store answers all machines");
    thread::sleep(Duration::from_secs(2));
    stop.store(true, Ordering::Release);
    let mut sent = Vec::new();
    for client in clients {
        sent.extend(client.join().map_err(|_| std::io::Error::other("a client failed"))?);
    }
    let text = std::fs::read_to_string(record.path())?;
    let by_old = |id: &str| {
        old.iter().any(|instance| text.contains(&format!("instance {} gets {id},", instance.id)))
    };
    let stale_after = |bound: Duration| {
        let late = sent.iter().filter(|(at, _)| *at > acknowledged + bound);
        late.filter(|(_, id)| by_old(id)).count()
    };
    let (stale, very_stale) = (stale_after(CONFIG_APPLY), stale_after(CONFIG_APPLY + MAX_SKEW));
    record.line(&format!(
        "of the requests to machines that were not turned away, the old service ran {stale} that were \
         sent later than ConfigApply after the acknowledgement, and {very_stale} that were sent \
         later than ConfigApply and MaxSkew after it"
    ));
    Ok(very_stale > 0)
}

/// Sends requests to a machine; returns when each was sent.
fn start_client(
    machine: &Machine,
    record: &Record,
    stop: &Arc<AtomicBool>,
) -> thread::JoinHandle<Vec<(Duration, String)>> {
    let (to, record, stop) = (machine.outbound, record.clone(), Arc::clone(stop));
    thread::spawn(move || {
        let mut sent = Vec::new();
        while !stop.load(Ordering::Acquire) {
            let request = Request::get(HOST, "/puka111/2f", Duration::from_secs(5));
            sent.push((record.now(), request.id.clone()));
            request.send(to, &record);
            thread::sleep(REQUEST_INTERVAL);
        }
        sent
    })
}
