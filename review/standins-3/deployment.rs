//! A small deployment: a store, machines with their instances, and clients.

use std::net::SocketAddr;
use std::path::Path;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::Verdict;
use crate::http;
use crate::instance::Instance;
use crate::machine::{HEARTBEAT, Machine, Zones, loopback, wait_until};
use crate::record::Record;
use crate::store::Store;

/// Load of a deployment.
#[derive(Clone, Copy)]
pub struct Load {
    /// Interval between two requests of the clients of one machine.
    pub interval: Duration,
    /// Time that an instance works on a request.
    pub work: Duration,
    /// Whether each request has a body of its own.
    pub unique_bodies: bool,
}

/// Two zones of one region.
pub const TWO_ZONES: Zones = &[("gauteng-a", "gauteng"), ("gauteng-b", "gauteng")];
/// The zones of the site.
pub const FOUR_ZONES: Zones = &[
    ("gauteng-a", "gauteng"),
    ("gauteng-b", "gauteng"),
    ("wcape-a", "western-cape"),
    ("wcape-b", "western-cape"),
];

const CONFIG: &str = r#"{"Version":"00000007","Resources":[
{"EntryType":"Routes","Metadata":{"Name":"r-1"},"Spec":{"Hostname":"jepu9.example","Prefix":"/puka111/",
 "RouteType":"unsafe","Timeout":"1500ms","TargetLatency":"4000ms","Priority":0,"Service":"orders","Attempts":2}},
{"EntryType":"Routes","Metadata":{"Name":"r-2"},"Spec":{"Hostname":"hulo84.example","Prefix":"/cufi502/",
 "RouteType":"download","Timeout":"2500ms","TargetLatency":"600ms","Priority":1,"Service":"orders","Attempts":2}},
{"EntryType":"Services","Metadata":{"Name":"orders"},"Spec":{"HealthPath":"/healthz","MaxConnections":424,"Protocol":"h1","Tls":false}},
{"EntryType":"Limits","Metadata":{},"Spec":{"MaxHeaderBytes":16384,"MaxBodyBytes":400000,"HeaderTimeout":"3s","IdleTimeout":"15s"}}]}"#;

/// A deployment with `orders` on each machine.
pub struct Deployment {
    pub store: Arc<Store>,
    pub machines: Vec<Machine>,
    pub instances: Vec<Arc<Instance>>,
    pub record: Arc<Record>,
    stop: Arc<AtomicBool>,
    /// Ids of the requests of clients with the status of their answers; 0 if there was none.
    pub answered: Arc<Mutex<Vec<(String, u16)>>>,
    pub beating: Vec<Arc<AtomicBool>>,
    /// Interval between two requests of the clients of one machine, in milliseconds.
    interval_ms: Arc<AtomicU64>,
}

impl Deployment {
    /// Starts the deployment with these numbers of machines in its zones; `None` if it does not serve.
    pub fn start(
        zones: Zones,
        per_zone: &[u8],
        load: Load,
        scratch: &Path,
        record: &Arc<Record>,
    ) -> Option<Deployment> {
        let store_addr = (loopback(60), 8309).into();
        let store = Store::start(store_addr);
        store.write("op/config", CONFIG.as_bytes());
        let mut machines = Vec::new();
        for ((zone, _), count) in zones.iter().zip(per_zone) {
            for _ in 0..*count {
                let index = machines.len() as u8 + 1;
                machines.push(Machine::new(index, zone, zones, "orders", store_addr, scratch));
            }
        }
        machines.iter_mut().for_each(Machine::start);
        let instances: Vec<Arc<Instance>> = machines
            .iter()
            .zip(1..)
            .map(|(machine, number)| {
                Instance::start(&format!("i-{number}"), machine, load.work, record)
            })
            .collect();
        let mut deployment = Deployment {
            store,
            machines,
            instances,
            record: Arc::clone(record),
            stop: Arc::default(),
            answered: Arc::default(),
            beating: Vec::new(),
            interval_ms: Arc::new(AtomicU64::new(load.interval.as_millis() as u64)),
        };
        let ready = wait_until(Duration::from_secs(8), || {
            deployment.machines.iter().all(Machine::is_ready)
        });
        if !ready {
            return None;
        }
        deployment.beating =
            deployment.instances.iter().map(|instance| start_heartbeats(instance)).collect();
        for machine in &deployment.machines {
            start_clients(machine, load, &deployment);
        }
        let instances = &deployment.instances;
        let used = || instances.iter().all(|instance| instance.runs().len() > 5);
        wait_until(Duration::from_secs(10), used).then_some(deployment)
    }

    /// Changes the interval between two requests of the clients of one machine.
    pub fn set_interval(&self, interval: Duration) {
        self.interval_ms.store(interval.as_millis() as u64, Ordering::SeqCst);
    }

    /// Ends the heartbeats of an instance.
    pub fn stop_heartbeats(&self, index: usize) {
        self.beating[index].store(false, Ordering::SeqCst);
    }

    /// Returns whether requests began to run at an instance in a span of time.
    pub fn ran_between(&self, index: usize, from: Instant, to: Instant) -> Verdict {
        let runs = self.instances[index].runs();
        let late: Vec<_> = runs.iter().filter(|(at, _)| *at > from && *at < to).collect();
        let (from, to) = (self.record.seconds(from), self.record.seconds(to));
        self.record.add(&format!(
            "requests that reached {} between {from:.3} and {to:.3}: {}",
            self.instances[index].id,
            late.len()
        ));
        if late.is_empty() { Verdict::Held } else { Verdict::Broken }
    }
}

impl Drop for Deployment {
    fn drop(&mut self) {
        self.stop.store(true, Ordering::SeqCst);
        self.beating.iter().for_each(|beating| beating.store(false, Ordering::SeqCst));
        self.machines.iter_mut().for_each(Machine::kill);
    }
}

/// Sends heartbeats until the returned flag is cleared.
pub fn start_heartbeats(instance: &Arc<Instance>) -> Arc<AtomicBool> {
    let beating = Arc::new(AtomicBool::new(true));
    let (instance, flag) = (Arc::clone(instance), Arc::clone(&beating));
    thread::spawn(move || {
        while flag.load(Ordering::SeqCst) {
            let body = instance.heartbeat("ready");
            instance.send("heartbeat", &body);
            let end = Instant::now() + HEARTBEAT;
            while flag.load(Ordering::SeqCst) && Instant::now() < end {
                thread::sleep(Duration::from_millis(10));
            }
        }
    });
    beating
}

/// Sends requests to a machine until `stop` is set, each on a new connection.
fn start_clients(machine: &Machine, load: Load, deployment: &Deployment) {
    static NEXT_ID: AtomicU64 = AtomicU64::new(0);
    let (name, to) = (machine.name.clone(), machine.outbound());
    let (record, stop) = (Arc::clone(&deployment.record), Arc::clone(&deployment.stop));
    let answered = Arc::clone(&deployment.answered);
    let interval_ms = Arc::clone(&deployment.interval_ms);
    thread::spawn(move || {
        while !stop.load(Ordering::SeqCst) {
            let (name, record) = (name.clone(), Arc::clone(&record));
            let answered = Arc::clone(&answered);
            thread::spawn(move || {
                let id = format!("{:016x}", NEXT_ID.fetch_add(1, Ordering::SeqCst));
                let body = if load.unique_bodies { format!("order {id}") } else { "order".into() };
                let status = send_order(to, &id, &body);
                record.add(&format!("request {id} at {name}: {status}"));
                answered.lock().unwrap().push((id, status));
            });
            thread::sleep(Duration::from_millis(interval_ms.load(Ordering::SeqCst)));
        }
    });
}

/// Sends an order on a new connection; returns the status of the answer, or 0 if there is none.
pub fn send_order(to: SocketAddr, id: &str, body: &str) -> u16 {
    let headers = [
        ("Host", "jepu9.example"),
        ("Snipehollow-Request-Id", id),
        ("Snipehollow-Deadline-Ms", "5000"),
        ("Connection", "close"),
    ];
    let limit = Duration::from_secs(5);
    let answer = http::call(to, "POST /puka111/2f", &headers, body.as_bytes(), limit);
    answer.map_or(0, |answer| answer.status())
}

/// Sleeps until a point in time.
pub fn sleep_until(at: Instant) {
    thread::sleep(at.saturating_duration_since(Instant::now()));
}
