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

pub fn play(record: &Record, trouble: bool) -> std::io::Result<bool> {
    let machines = [
        Machine::new("gauteng-a", "gauteng", "documents")?,
        Machine::new("gauteng-b", "gauteng", "catalogue")?,
    ];
    let routes = [Route {
        name: "r-documents",
        prefix: "/cufi502/",
        kind: "download",
        timeout_ms: 5_000,
        service: "documents",
        attempts: 2,
    }];
    let _deployment = Deployment::start(&machines, &routes, record)?;
    let mut instance =
        InstanceProcess::start(&machines[0], WITHOUT_LENGTH, "i-spot", None, record)?;
    record.wait_until(Duration::from_secs(6));

    let request = Request::get(HOST, "/cufi502/2f", Duration::from_secs(5));
    let (to, log) = (machines[1].outbound, record.clone());
    let client = thread::spawn(move || request.send(to, &log));
    thread::sleep(NOTICE_DELAY);
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
