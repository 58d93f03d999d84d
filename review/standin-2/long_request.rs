//! A machine is stopped while an instance works at requests that it has taken.

use std::sync::Arc;
use std::thread;
use std::time::Duration;

use crate::client::Request;
use crate::deployment::{Deployment, HOST, Route};
use crate::fleet::Machine;
use crate::http::Message;
use crate::instance::{Instance, answer};
use crate::record::Record;

/// `Grace` of the deployment.
const GRACE: Duration = Duration::from_secs(10);
/// `Timeout` of the route, and deadline of the clients.
const TIMEOUT: Duration = Duration::from_secs(5);
/// Work of a long request; within the route's timeout.
const LONG_WORK: Duration = Duration::from_millis(4_200);
const SHORT_WORK: Duration = Duration::from_millis(50);
const LONG_PATH: &str = "/puka111/long";
/// When the long requests are sent after the SIGTERM. The platform asks for readiness once a second,
/// and two misses take the machine out.
const SEND_DELAY: Duration = Duration::from_millis(1_200);
const LONG_REQUESTS: usize = 5;

pub fn play(record: &Record, trouble: bool) -> std::io::Result<bool> {
    let machines = [
        Machine::new("gauteng-a", "gauteng", "catalogue")?,
        Machine::new("gauteng-a", "gauteng", "orders")?,
    ];
    let routes = [Route {
        name: "r-orders",
        prefix: "/puka111/",
        kind: "unsafe",
        timeout_ms: TIMEOUT.as_millis() as u32,
        service: "orders",
        attempts: 2,
    }];
    let mut deployment = Deployment::start(&machines, &routes, record)?;
    let work = Arc::new(|instance: &Instance, request: &Message, connection: &mut _| {
        let is_long = request.target() == LONG_PATH;
        thread::sleep(if is_long { LONG_WORK } else { SHORT_WORK });
        let id = request.header("snipehollow-request-id").unwrap_or("");
        let sent = answer(request, connection, &[b'x'; 600]);
        let result = if sent.is_ok() { "answers" } else { "cannot answer" };
        instance.record.line(&format!("instance {} {result} {id}", instance.id));
        sent
    });
    let _catalogue = Instance::start(&machines[0], "i-catalogue", record, work.clone())?;
    let _orders = Instance::start(&machines[1], "i-orders", record, work)?;
    record.wait_until(Duration::from_secs(5));
    let to = machines[0].outbound;
    for _ in 0..20 {
        Request::post(HOST, "/puka111/2f", TIMEOUT, b"one net").send(to, record);
    }

    let stopped = record.now();
    if trouble {
        deployment.nodes[0].signal("TERM")?;
    }
    record.wait_until(stopped + SEND_DELAY);
    let clients: Vec<_> = (0..LONG_REQUESTS)
        .map(|_| {
            let record = record.clone();
            thread::spawn(move || {
                let sent = record.now();
                let request = Request::post(HOST, LONG_PATH, TIMEOUT, b"one net");
                let answer = request.send(to, &record);
                (sent, record.now(), answer.map(|answer| answer.status()))
            })
        })
        .collect();
    let mut broken_off = 0;
    for client in clients {
        let (sent, ended, status) =
            client.join().map_err(|_| std::io::Error::other("a client failed"))?;
        if !trouble && status != Some(200) {
            return Err(std::io::Error::other("a request failed without a stop"));
        }
        // A refusal (503) says that the request has not run.
        let is_unanswered = matches!(status, None | Some(502 | 504));
        let in_time = ended < sent + TIMEOUT - Duration::from_millis(100);
        let before_last_sixth = ended < stopped + GRACE * 5 / 6;
        broken_off += usize::from(is_unanswered && in_time && before_last_sixth);
    }
    if trouble {
        deployment.nodes[0].wait_end(GRACE)?;
    }
    // Lets the instance end its work, for the record.
    thread::sleep(Duration::from_secs(2));
    record.line(&format!("{broken_off} requests broken off while their instance was at work"));
    Ok(broken_off > 0)
}
