//! Stand-in for an application instance, in a process of its own.
//!
//! It takes commands on standard input and reports on standard output, one line each:
//!
//! - `hold MS`: the next heartbeat arrives that much later
//! - `leave`: deregister without having reported `draining`, and keep on serving
//!
//! A request whose path ends with `/unframed` gets an answer without a length that ends with its
//! connection, in two halves with a pause between them.

use std::io::{BufRead, Result, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use crate::http::{self, Request};

const HEARTBEAT: Duration = Duration::from_millis(1_500);
/// An instance waits this long for the acknowledgement of a heartbeat.
const ACK_TIMEOUT: Duration = Duration::from_secs(1);
const PAUSE_IN_ANSWER: Duration = Duration::from_millis(600);
const BODY_BYTES: usize = 6_000;
const HEALTH_PATH: &str = "/healthz";

/// The whole body of the answer to a request.
pub fn body_of(id: &str) -> Vec<u8> {
    id.bytes().cycle().take(BODY_BYTES).collect()
}

pub struct Config {
    pub id: String,
    pub service: String,
    pub zone: String,
    pub listen: SocketAddr,
    pub control: SocketAddr,
    /// Time that a request takes.
    pub work: Duration,
    pub slots: u32,
}

struct Instance {
    cfg: Config,
    born: u128,
    sequence: AtomicU64,
    leaving: AtomicBool,
    hold_ms: AtomicU64,
    out: Mutex<()>,
}

pub fn run(cfg: Config) -> Result<()> {
    let listener = TcpListener::bind(cfg.listen)?;
    let born = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_millis();
    let instance = Arc::new(Instance {
        cfg,
        born,
        sequence: AtomicU64::new(0),
        leaving: AtomicBool::new(false),
        hold_ms: AtomicU64::new(0),
        out: Mutex::new(()),
    });
    let server = Arc::clone(&instance);
    thread::spawn(move || http::serve(listener, move |req, out| server.answer(&req, out)));
    let beats = Arc::clone(&instance);
    thread::spawn(move || beats.send_heartbeats());
    for line in std::io::stdin().lock().lines() {
        match line?.split_once(' ') {
            Some(("hold", ms)) => {
                instance.hold_ms.store(ms.parse().unwrap_or(0), Ordering::SeqCst);
            }
            _ => instance.leave(),
        }
    }
    Ok(())
}

impl Instance {
    fn report(&self, text: &str) {
        let _guard = self.out.lock();
        println!("{text}");
        let _ = std::io::stdout().flush();
    }

    fn answer(&self, req: &Request, out: &mut TcpStream) -> Result<bool> {
        let own = self.cfg.id.as_str();
        if req.path() == HEALTH_PATH {
            let status = if self.leaving.load(Ordering::SeqCst) { 503 } else { 200 };
            http::respond(out, status, &[("Snipehollow-Instance-Id", own)], b"")?;
            return Ok(true);
        }
        let id = req.header("Snipehollow-Request-Id").unwrap_or("").to_owned();
        if req.header("Snipehollow-Expect-Instance").is_some_and(|expected| expected != own) {
            let headers = [
                ("Snipehollow-Request-Id", id.as_str()),
                ("Snipehollow-Not-Executed", "1"),
                ("Snipehollow-Instance-Id", own),
            ];
            http::respond(out, 421, &headers, b"")?;
            return Ok(true);
        }
        self.report(&format!("runs {id}"));
        thread::sleep(self.cfg.work);
        let seal = format!("{own}.{id}");
        let body = body_of(&id);
        if !req.path().ends_with("/unframed") {
            let headers =
                [("Snipehollow-Request-Id", id.as_str()), ("Snipehollow-Response-Seal", &seal)];
            http::respond(out, 200, &headers, &body)?;
            return Ok(true);
        }
        let head = format!(
            "HTTP/1.1 200 OK\r\nSnipehollow-Request-Id: {id}\r\nSnipehollow-Response-Seal: {seal}\r\n\
             Connection: close\r\n\r\n"
        );
        out.write_all(head.as_bytes())?;
        out.write_all(&body[..BODY_BYTES / 2])?;
        self.report(&format!("half-answered {id}"));
        thread::sleep(PAUSE_IN_ANSWER);
        out.write_all(&body[BODY_BYTES / 2..])?;
        self.report(&format!("answered {id}"));
        Ok(false)
    }

    fn send_heartbeats(self: &Arc<Instance>) {
        while !self.leaving.load(Ordering::SeqCst) {
            let sequence = self.sequence.fetch_add(1, Ordering::SeqCst) + 1;
            let Config { id, service, zone, listen, slots, .. } = &self.cfg;
            let body = format!(
                r#"{{"Service":"{service}","Address":"{listen}","Zone":"{zone}","Version":"v1","Slots":{slots},"State":"ready","ColdLeft":"0ms","Seq":{sequence},"born":{}}}"#,
                self.born
            );
            let target = format!("/-/instances/{id}/heartbeat");
            let held = Duration::from_millis(self.hold_ms.swap(0, Ordering::SeqCst));
            let sender = Arc::clone(self);
            let send = move || {
                if !held.is_zero() {
                    sender.report(&format!("heartbeat {sequence} ready sent, it is held up"));
                    thread::sleep(held);
                }
                let status = sender.post(&target, body.as_bytes());
                if !held.is_zero() {
                    sender.report(&format!("heartbeat {sequence} ready arrived late: {status}"));
                }
            };
            thread::spawn(send);
            thread::sleep(HEARTBEAT);
        }
    }

    fn leave(&self) {
        self.leaving.store(true, Ordering::SeqCst);
        let status = self.post(&format!("/-/instances/{}/deregister", self.cfg.id), b"");
        self.report(&format!("deregister answered {status}"));
    }

    /// Sends a call to the node beside this instance; returns the status, or 0 without an answer.
    fn post(&self, target: &str, body: &[u8]) -> u16 {
        let headers = [("Content-Type", "application/json"), ("Connection", "close")];
        http::call(self.cfg.control, "POST", target, &headers, body, ACK_TIMEOUT)
            .map_or(0, |response| response.status)
    }
}
