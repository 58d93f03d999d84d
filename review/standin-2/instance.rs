//! Stand-in for an instance.

use std::net::{SocketAddr, TcpListener};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use crate::fleet::{HEARTBEAT, Machine};
use crate::http::{Connection, Message, call, serve};
use crate::record::Record;

pub const SEAL: &str = "3e1b.07.5a2.600.0.c9f2a4d1";
/// Time that an instance waits for an acknowledgement.
const ACK_TIMEOUT: Duration = Duration::from_secs(1);
pub const SLOTS: u32 = 54;

/// What an instance does with a request after it was recorded as running.
pub type Work = dyn Fn(&Instance, &Message, &mut Connection) -> std::io::Result<()> + Send + Sync;

#[derive(Clone)]
pub struct Instance {
    pub id: String,
    pub service: String,
    zone: String,
    pub addr: SocketAddr,
    control: SocketAddr,
    born: u64,
    seq: Arc<AtomicU64>,
    /// Whether the instance is leaving.
    pub leaving: Arc<AtomicBool>,
    /// Whether regular heartbeats are sent.
    pub beating: Arc<AtomicBool>,
    /// When requests began to run, by the time of the record.
    pub arrivals: Arc<Mutex<Vec<Duration>>>,
    pub record: Record,
}

impl Instance {
    /// Starts an instance on a machine, which sends heartbeats and runs requests.
    pub fn start(
        machine: &Machine,
        id: &str,
        record: &Record,
        work: Arc<Work>,
    ) -> std::io::Result<Instance> {
        let Machine { app, control, service, zone, .. } = machine;
        let instance = Instance::new(*app, *control, service, zone, id, record);
        instance.run(work)?;
        Ok(instance)
    }

    /// Serves requests and sends heartbeats from now on.
    pub fn run(&self, work: Arc<Work>) -> std::io::Result<()> {
        let server = self.clone();
        serve(TcpListener::bind(self.addr)?, move |connection| {
            server.serve_connection(connection, &*work);
        });
        let beats = self.clone();
        thread::spawn(move || {
            loop {
                if beats.beating.load(Ordering::Acquire) {
                    let state = match beats.leaving.load(Ordering::Acquire) {
                        true => "draining",
                        false => "ready",
                    };
                    beats.beat(beats.next_seq(), state);
                }
                thread::sleep(HEARTBEAT);
            }
        });
        Ok(())
    }

    pub fn new(
        addr: SocketAddr,
        control: SocketAddr,
        service: &str,
        zone: &str,
        id: &str,
        record: &Record,
    ) -> Instance {
        let now = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        Instance {
            id: id.into(),
            service: service.into(),
            zone: zone.into(),
            addr,
            control,
            born: now.as_millis() as u64,
            seq: Arc::default(),
            leaving: Arc::default(),
            beating: Arc::new(AtomicBool::new(true)),
            arrivals: Arc::default(),
            record: record.clone(),
        }
    }

    pub fn next_seq(&self) -> u64 {
        self.seq.fetch_add(1, Ordering::AcqRel) + 1
    }

    /// Sends a heartbeat; returns whether it was acknowledged.
    pub fn beat(&self, seq: u64, state: &str) -> bool {
        let body = format!(
            "{{\"Service\":\"{}\",\"Address\":\"{}\",\"Zone\":\"{}\",\"Version\":\"v1\",\
             \"Slots\":{SLOTS},\"State\":\"{state}\",\"ColdLeft\":\"0ms\",\"Seq\":{seq},\"born\":{}}}",
            self.service, self.addr, self.zone, self.born
        );
        self.notice("heartbeat", &body, &format!("{state}, seq {seq}"))
    }

    /// Sends the deregistration; returns whether it was acknowledged.
    pub fn deregister(&self) -> bool {
        self.notice("deregister", &format!("{{\"born\":{}}}", self.born), "")
    }

    fn notice(&self, name: &str, body: &str, what: &str) -> bool {
        let request = format!(
            "POST /-/instances/{}/{name} HTTP/1.1\r\nHost: {}\r\nContent-Type: application/json\r\n\
             Content-Length: {}\r\n\r\n{body}",
            self.id,
            self.control,
            body.len()
        );
        let result = call(self.control, &request, ACK_TIMEOUT).map(|answer| answer.status());
        let acknowledged = result.as_ref().is_ok_and(|status| (200..300).contains(status));
        let result = if acknowledged { "acknowledged" } else { "not acknowledged" };
        self.record.line(&format!("instance {} {name} ({what}): {result}", self.id));
        acknowledged
    }

    fn serve_connection(&self, mut connection: Connection, work: &Work) {
        while let Ok(Some(request)) = connection.read() {
            if self.serve_request(&request, &mut connection, work).is_err() {
                return;
            }
        }
    }

    fn serve_request(
        &self,
        request: &Message,
        connection: &mut Connection,
        work: &Work,
    ) -> std::io::Result<()> {
        let id_header = [("Snipehollow-Instance-Id", self.id.as_str())];
        if request.target() == "/healthz" {
            let status = match self.leaving.load(Ordering::Acquire) {
                true => "503 Service Unavailable",
                false => "200 OK",
            };
            self.record.line(&format!("instance {} health check: {status}", self.id));
            return connection.respond(status, &id_header, b"");
        }
        let id = request.header("snipehollow-request-id").unwrap_or("").to_owned();
        let id_echo = ("Snipehollow-Request-Id", id.as_str());
        let expected = request.header("snipehollow-expect-instance");
        if expected.is_some_and(|expected| expected != self.id) {
            self.record.line(&format!("instance {} rejects {id}: 421", self.id));
            return connection.respond("421 Misdirected Request", &[id_header[0], id_echo], b"");
        }
        let deadline = request.header("snipehollow-deadline-ms").unwrap_or("none");
        self.record.line(&format!("instance {} gets {id}, deadline {deadline} ms", self.id));
        self.arrivals.lock().unwrap().push(self.record.now());
        work(self, request, connection)
    }
}

/// Answers a request at once with its whole body.
pub fn answer(request: &Message, connection: &mut Connection, body: &[u8]) -> std::io::Result<()> {
    let id = request.header("snipehollow-request-id").unwrap_or("");
    let headers = [("Snipehollow-Request-Id", id), ("Snipehollow-Response-Seal", SEAL)];
    connection.respond("200 OK", &headers, body)
}
