//! Stand-in for an application instance.

use std::io::BufReader;
use std::net::{Shutdown, SocketAddr, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use crate::http::{self, Message};
use crate::machine::Machine;
use crate::record::Record;

/// Slots that the instance announces.
const SLOTS: u32 = 54;

/// Faults of an instance; none by default.
#[derive(Default)]
pub struct Faults {
    /// Whether it refuses a share of the requests as not executed.
    pub sheds: AtomicBool,
    /// Number of the next refusals that it writes once more, late, on the same connection.
    pub repeated: AtomicU64,
}

/// Start of the body of a request that crashes each instance which begins to run it.
pub const POISON: &[u8] = b"poison";
/// How late a refusal is written once more.
const COPY_DELAY: Duration = Duration::from_millis(450);
/// Share of the requests that are refused, in hundredths.
const SHED_SHARE: u64 = 45;

/// An instance of a service.
pub struct Instance {
    pub id: String,
    addr: SocketAddr,
    control: SocketAddr,
    service: &'static str,
    zone: &'static str,
    /// Unix time of its start, in milliseconds.
    born: u128,
    sequence: Mutex<u64>,
    leaving: AtomicBool,
    /// Whether it has ended: it accepts and answers nothing any more.
    ended: Arc<AtomicBool>,
    /// Connections that it has accepted.
    connections: Mutex<Vec<TcpStream>>,
    faults: Faults,
    /// Number of requests that it answered.
    answers: AtomicU64,
    /// Number of requests that it refused.
    refusals: AtomicU64,
    /// Number of refusals that it wrote once more.
    copies: AtomicU64,
    /// Time that it works on a request.
    work_ms: AtomicU64,
    /// Requests that it has begun to run: when, and their ids.
    runs: Mutex<Vec<(Instant, String)>>,
    record: Arc<Record>,
}

impl Instance {
    /// Starts an instance on a machine, without heartbeats.
    pub fn start(
        id: &str,
        machine: &Machine,
        work: Duration,
        record: &Arc<Record>,
    ) -> Arc<Instance> {
        let instance = Arc::new(Instance::new(id, machine, work, record));
        let served = Arc::clone(&instance);
        let ended = Arc::clone(&instance.ended);
        http::listen_until(instance.addr, ended, move |stream| served.serve(stream));
        instance
    }

    /// Creates what an instance says of itself; another process serves in its place.
    pub fn announced(id: &str, machine: &Machine, record: &Arc<Record>) -> Arc<Instance> {
        Arc::new(Instance::new(id, machine, Duration::ZERO, record))
    }

    fn new(id: &str, machine: &Machine, work: Duration, record: &Arc<Record>) -> Instance {
        let born = SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |time| time.as_millis());
        Instance {
            id: id.into(),
            addr: machine.instance(),
            control: machine.control(),
            service: machine.service,
            zone: machine.zone,
            born,
            sequence: Mutex::new(0),
            leaving: AtomicBool::new(false),
            ended: Arc::default(),
            connections: Mutex::default(),
            faults: Faults::default(),
            answers: AtomicU64::new(0),
            refusals: AtomicU64::new(0),
            copies: AtomicU64::new(0),
            work_ms: AtomicU64::new(work.as_millis() as u64),
            runs: Mutex::new(Vec::new()),
            record: Arc::clone(record),
        }
    }

    pub fn faults(&self) -> &Faults {
        &self.faults
    }

    /// Returns how many requests it answered, how many of them with a refusal, and how many refusals
    /// it wrote once more.
    pub fn counts(&self) -> (u64, u64, u64) {
        let count = |counter: &AtomicU64| counter.load(Ordering::SeqCst);
        (count(&self.answers), count(&self.refusals), count(&self.copies))
    }

    /// Changes the time that it works on a request.
    pub fn set_work(&self, work: Duration) {
        self.work_ms.store(work.as_millis() as u64, Ordering::SeqCst);
    }

    pub fn has_ended(&self) -> bool {
        self.ended.load(Ordering::SeqCst)
    }

    /// Ends the instance at once, as a crash does: its address refuses connections.
    pub fn crash(&self) {
        self.ended.store(true, Ordering::SeqCst);
        thread::sleep(http::ACCEPT_INTERVAL * 3);
        for connection in self.connections.lock().unwrap().drain(..) {
            let _ = connection.shutdown(Shutdown::Both);
        }
    }

    /// Returns the requests that it has begun to run.
    pub fn runs(&self) -> Vec<(Instant, String)> {
        self.runs.lock().unwrap().clone()
    }

    /// Marks the instance as leaving: its health check fails from now on.
    pub fn begin_to_leave(&self) {
        self.leaving.store(true, Ordering::SeqCst);
    }

    pub fn end(&self) {
        self.ended.store(true, Ordering::SeqCst);
    }

    /// Composes the next heartbeat; it is sent by [`Instance::send`].
    pub fn heartbeat(&self, state: &str) -> String {
        let mut sequence = self.sequence.lock().unwrap();
        *sequence += 1;
        format!(
            "{{\"Service\":\"{}\",\"Address\":\"{}\",\"Zone\":\"{}\",\"Version\":\"v1\",\
             \"Slots\":{SLOTS},\"State\":\"{state}\",\"ColdLeft\":\"0ms\",\"Seq\":{sequence},\
             \"born\":{}}}",
            self.service, self.addr, self.zone, self.born
        )
    }

    /// Sends a heartbeat or a deregistration; returns whether it was acknowledged within a second.
    pub fn send(&self, call: &str, body: &str) -> bool {
        let line = format!("POST /-/instances/{}/{call}", self.id);
        let headers = [("Host", "control"), ("Content-Type", "application/json")];
        let limit = Duration::from_secs(1);
        let answer = http::call(self.control, &line, &headers, body.as_bytes(), limit);
        let status = answer.map_or(0, |answer| answer.status());
        self.record.add(&format!("{} sends {call} {body}: {status}", self.id));
        (200..300).contains(&status)
    }

    /// Returns the body of a deregistration.
    pub fn deregistration(&self) -> String {
        format!("{{\"born\":{}}}", self.born)
    }

    fn serve(&self, stream: TcpStream) {
        let Ok(clone) = stream.try_clone() else {
            return;
        };
        let Ok(known) = stream.try_clone() else {
            return;
        };
        self.connections.lock().unwrap().push(known);
        let mut reader = BufReader::new(clone);
        while let Ok(Some(request)) = Message::read(&mut reader) {
            if self.ended.load(Ordering::SeqCst) || self.answer(&stream, &request).is_err() {
                return;
            }
        }
    }

    fn answer(&self, stream: &TcpStream, request: &Message) -> std::io::Result<()> {
        let own = ("Snipehollow-Instance-Id", self.id.as_str());
        if request.target() == "/healthz" {
            let status = if self.leaving.load(Ordering::SeqCst) { 503 } else { 200 };
            self.record.add(&format!("{} answers a health check: {status}", self.id));
            return http::respond(stream, status, &[own], b"");
        }
        let id = request.header("snipehollow-request-id").unwrap_or("");
        let echo = ("Snipehollow-Request-Id", id);
        let not_run = ("Snipehollow-Not-Executed", "1");
        if request.header("snipehollow-expect-instance").is_some_and(|other| other != self.id) {
            return http::respond(stream, 421, &[own, echo, not_run], b"");
        }
        let number = self.answers.fetch_add(1, Ordering::SeqCst);
        if self.faults.sheds.load(Ordering::SeqCst) && number * 61 % 100 < SHED_SHARE {
            return self.refuse(stream, id, &[echo, not_run]);
        }
        self.runs.lock().unwrap().push((Instant::now(), id.into()));
        self.record.add(&format!("{} runs {id}", self.id));
        if request.body.starts_with(POISON) {
            self.record.add(&format!("{} crashes by {id}", self.id));
            self.crash();
            return Err(std::io::ErrorKind::ConnectionAborted.into());
        }
        thread::sleep(Duration::from_millis(self.work_ms.load(Ordering::SeqCst)));
        let seal = ("Snipehollow-Response-Seal", "3e1b.07.5a2.600.0.c9f2a4d1");
        http::respond(stream, 200, &[echo, seal], format!("{} {id}", self.id).as_bytes())
    }

    /// Refuses a request as not executed.
    fn refuse(
        &self,
        stream: &TcpStream,
        id: &str,
        headers: &[(&str, &str)],
    ) -> std::io::Result<()> {
        self.refusals.fetch_add(1, Ordering::SeqCst);
        self.record.add(&format!("{} refuses {id}", self.id));
        let repeats = |left: u64| left.checked_sub(1);
        if self.faults.repeated.fetch_update(Ordering::SeqCst, Ordering::SeqCst, repeats).is_ok() {
            self.copies.fetch_add(1, Ordering::SeqCst);
            let (later, record) = (stream.try_clone()?, Arc::clone(&self.record));
            let (own, id) = (self.id.clone(), id.to_owned());
            let fields: Vec<(String, String)> =
                headers.iter().map(|(name, value)| (name.to_string(), value.to_string())).collect();
            thread::spawn(move || {
                thread::sleep(COPY_DELAY);
                let fields: Vec<(&str, &str)> =
                    fields.iter().map(|(name, value)| (name.as_str(), value.as_str())).collect();
                let written = http::respond(&later, 503, &fields, b"").is_ok();
                record.add(&format!("{own} writes the refusal of {id} once more: {written}"));
            });
        }
        http::respond(stream, 503, headers, b"")
    }
}
