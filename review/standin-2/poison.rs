//! A request that crashes the instances comes again while they shed part of their requests.

use std::collections::HashSet;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread;
use std::time::Duration;

use crate::client::Request;
use crate::deployment::{Deployment, HOST, Route};
use crate::fleet::Machine;
use crate::instance_process::{FRAGILE, InstanceProcess, POISON};
use crate::record::Record;

/// `StableWindow` of the deployment.
const STABLE_WINDOW: Duration = Duration::from_secs(3);
/// Number of retries that may still reach instances.
const MAX_RETRIES: usize = 3;
/// How long an instance that crashed is down.
const DOWN: Duration = Duration::from_secs(2);
const SHED_START: Duration = Duration::from_millis(8_000);
const SHED_TIME: Duration = Duration::from_millis(8_500);
const POISON_START: Duration = Duration::from_millis(8_200);
const POISON_INTERVAL: Duration = Duration::from_millis(250);
const REQUEST_INTERVAL: Duration = Duration::from_millis(25);
const LENGTH: Duration = Duration::from_secs(24);
const DEADLINE: Duration = Duration::from_secs(5);

pub fn play(record: &Record, trouble: bool) -> std::io::Result<bool> {
    let machines = [
        Machine::new("gauteng-a", "gauteng", "orders")?,
        Machine::new("gauteng-b", "gauteng", "orders")?,
    ];
    let routes = [Route {
        name: "r-orders",
        prefix: "/puka111/",
        kind: "unsafe",
        timeout_ms: 1_500,
        service: "orders",
        attempts: 2,
    }];
    let _deployment = Deployment::start(&machines, &routes, record)?;
    let shed = trouble.then_some((SHED_START, SHED_START + SHED_TIME));
    let stop = Arc::new(AtomicBool::new(false));
    let keepers: Vec<_> = machines
        .iter()
        .enumerate()
        .map(|(number, machine)| {
            let (machine, record, stop) = (machine.clone(), record.clone(), Arc::clone(&stop));
            thread::spawn(move || keep_instance(number, &machine, shed, &record, &stop))
        })
        .collect();

    record.wait_until(Duration::from_secs(5));
    let mut poison = HashSet::new();
    let mut poison_at = POISON_START;
    let mut turn = 0;
    while record.now() < LENGTH {
        turn += 1;
        let is_poison = record.now() >= poison_at;
        let body = match is_poison {
            true => POISON.to_owned(),
            false => format!("net {turn}"),
        };
        let request = Request::post(HOST, "/puka111/2f", DEADLINE, body.as_bytes());
        if is_poison {
            poison_at += POISON_INTERVAL;
            poison.insert(request.id.clone());
        }
        let (to, record) = (machines[turn % machines.len()].outbound, record.clone());
        thread::spawn(move || request.send(to, &record));
        thread::sleep(REQUEST_INTERVAL);
    }
    stop.store(true, Ordering::Release);
    for keeper in keepers {
        let _ = keeper.join();
    }
    evaluate(record, &poison)
}

/// Runs an instance on a machine and starts another one after each crash.
fn keep_instance(
    number: usize,
    machine: &Machine,
    shed: Option<(Duration, Duration)>,
    record: &Record,
    stop: &AtomicBool,
) {
    let mut starts = 0;
    while !stop.load(Ordering::Acquire) {
        starts += 1;
        let id = format!("i-{number}-{starts}");
        let Ok(mut process) = InstanceProcess::start(machine, FRAGILE, &id, shed, record) else {
            return;
        };
        while !process.has_ended() && !stop.load(Ordering::Acquire) {
            thread::sleep(Duration::from_millis(10));
        }
        if process.has_ended() {
            thread::sleep(DOWN);
        }
    }
}

/// Counts the retries of the poisonous request that reached instances too late.
fn evaluate(record: &Record, poison: &HashSet<String>) -> std::io::Result<bool> {
    let text = std::fs::read_to_string(record.path())?;
    let lines: Vec<Vec<&str>> =
        text.lines().map(|line| line.split_whitespace().collect()).collect();
    // Lines have the form `TIME instance NAME VERB ID`.
    let times = |verb: &str| -> Vec<f64> {
        let is_meant = |words: &&Vec<&str>| {
            words.len() >= 5
                && words[1] == "instance"
                && words[3] == verb
                && poison.contains(words[4].trim_end_matches(','))
        };
        lines.iter().filter(is_meant).filter_map(|words| words[0].parse().ok()).collect()
    };
    let (arrivals, crashes) = (times("gets"), times("crashes-at"));
    let Some(third) = crashes.get(2) else {
        record.line(&format!("{} crashes", crashes.len()));
        return Ok(false);
    };
    let bound = third + STABLE_WINDOW.as_secs_f64();
    let count = |times: &[f64]| times.iter().filter(|at| **at > bound).count();
    record.line(&format!(
        "{} crashes, the third at {third:.3}; later than {bound:.3} the request reached instances \
         {} times and crashed {} of them",
        crashes.len(),
        count(&arrivals),
        count(&crashes)
    ));
    Ok(count(&arrivals) > MAX_RETRIES)
}
