//! A leaving instance ends in the middle of an answer that has no length.

use std::thread;
use std::time::Duration;

use crate::client::Request;
use crate::deployment::{Deployment, HOST, Route};
use crate::fleet::Machine;
use crate::instance_process::{InstanceProcess, PIECE_BYTES, PIECES, WITHOUT_LENGTH};
use crate::record::Record;

/// How long after its notice a spot instance is gone.
const SPOT_NOTICE: Duration = Duration::from_secs(2);
/// When the notice comes after the request was sent.
const NOTICE_DELAY: Duration = Duration::from_millis(500);

/// Instances of the service, one of which is taken away, and machines of another service.
const INSTANCES: usize = 4;
const OTHER_MACHINES: usize = 4;

pub fn play(record: &Record, trouble: bool) -> std::io::Result<bool> {
    let mut machines = Vec::new();
    for number in 0..INSTANCES + OTHER_MACHINES {
        let zone = if number % 2 == 0 { "gauteng-a" } else { "gauteng-b" };
        let service = if number < INSTANCES { "documents" } else { "catalogue" };
        machines.push(Machine::new(zone, "gauteng", service)?);
    }
    let routes = [Route {
        name: "r-documents",
        prefix: "/cufi502/",
        kind: "download",
        timeout_ms: 5_000,
        service: "documents",
        attempts: 2,
    }];
    let _deployment = Deployment::start(&machines, &routes, record)?;
    let mut instances = Vec::new();
    for (number, machine) in machines.iter().enumerate() {
        let id = format!("i-{number}");
        instances.push(InstanceProcess::start(machine, WITHOUT_LENGTH, &id, None, record)?);
    }
    record.wait_until(Duration::from_secs(6));

    let request = Request::get(HOST, "/cufi502/2f", Duration::from_secs(5));
    let (to, log, id) = (machines[INSTANCES].outbound, record.clone(), request.id.clone());
    let client = thread::spawn(move || request.send(to, &log));
    thread::sleep(NOTICE_DELAY);
    let spot = find_instance(record, &id)?;
    let instance = &mut instances[spot];
    record.line(&format!("instance i-{spot} has its notice"));
    instance.drain()?;
    thread::sleep(SPOT_NOTICE);
    if trouble {
        instance.kill()?;
    }
    let answer = client.join().map_err(|_| std::io::Error::other("the client failed"))?;
    let whole = PIECES * PIECE_BYTES;
    let is_truncated = answer.as_ref().is_some_and(|answer| {
        let is_success = (200..300).contains(&answer.status());
        is_success && answer.body.len() != whole
    });
    if !trouble && !answer.is_some_and(|answer| answer.status() == 200) {
        return Err(std::io::Error::other("the request failed without a disruption"));
    }
    record.line(&format!("the whole answer has {whole} bytes"));
    Ok(is_truncated)
}

/// Returns the number of the instance that got a request.
fn find_instance(record: &Record, request: &str) -> std::io::Result<usize> {
    let text = std::fs::read_to_string(record.path())?;
    let (before, _) = text
        .split_once(&format!(" gets {request},"))
        .ok_or_else(|| std::io::Error::other("no instance got the request"))?;
    let number = before.rsplit("instance i-").next().unwrap_or_default();
    number.parse().map_err(std::io::Error::other)
}
