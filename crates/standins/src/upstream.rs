//! Stand-in for an upstream: an HTTP server with a limited number of slots and a service time.
//!
//! Requests beyond its slots queue and slow all others down, or are refused if it sheds load. It
//! can call other services through its node, crashes on a request that contains [`CRASH_MARKER`],
//! and counts what it does, so that tests do not depend on what nodes report.

mod behaviour;

pub use behaviour::{Behaviour, UpstreamStats};

use std::collections::HashMap;
use std::convert::Infallible;
use std::io::Write;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::{Duration, Instant};

use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use hyper::header::HeaderValue;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{HeaderMap, Request, Response, StatusCode};
use hyper_util::client::legacy::Client;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::{TokioExecutor, TokioIo};
use snipehollow_core::ids::ServiceName;
use snipehollow_core::membership::{UpstreamInfo, UpstreamState};
use snipehollow_wire::admin::Announcement;
use snipehollow_wire::headers;
use tokio::net::TcpListener;
use tokio::sync::Semaphore;

use crate::error::StandinError;
use crate::repeating_io::RepeatingIo;

/// Interval between announcements to the node.
const ANNOUNCE_INTERVAL: Duration = Duration::from_millis(500);
/// How long the node may consider an announcement valid: six announcement intervals.
const ANNOUNCE_TTL_MS: u32 = 3_000;
/// How long an upstream keeps serving after it has started to leave.
const LEAVE_NOTICE: Duration = Duration::from_secs(3);
/// Relative increase of the service time for each waiting request per slot.
const SLOWDOWN_PER_WAITING: f64 = 0.05;
/// Start of the record of a run whose body is not as long as it says.
pub const CORRUPT: &str = "corrupt";
/// Text that crashes the upstream if it occurs in the body or the path of a request.
pub const CRASH_MARKER: &str = "crash-this-upstream";

/// Configuration of a stand-in upstream.
#[derive(Clone, Debug)]
pub struct UpstreamConfig {
    /// Service that it announces.
    pub service: ServiceName,
    /// Address to listen on for requests.
    pub listen_addr: SocketAddr,
    /// Upstream listener of the node on its host, or `None` if it is called directly without a
    /// node.
    pub announce_to: Option<SocketAddr>,
    /// Caller listener of the node on its host, for downstream calls.
    pub node_addr: Option<SocketAddr>,
    /// Requests that it runs at once at full speed.
    pub slots: u32,
    /// Connections that it announces to the node.
    pub connections: u32,
    /// Time that a request takes in a slot, without downstream calls.
    pub service_time: Duration,
    /// Duration of the cold start, during which the service time is three times as long.
    pub cold_time: Duration,
    /// Size of a response body in bytes.
    pub response_bytes: usize,
    /// Paths that each request calls through the node, one after the other.
    pub downstream_calls: Vec<String>,
    /// Whether it refuses requests that find all slots taken, instead of queueing them.
    pub sheds_load: bool,
    /// File to which the body of each POST request is appended before the request runs.
    pub run_log: Option<std::path::PathBuf>,
}

struct State {
    cfg: UpstreamConfig,
    process_start: u64,
    started_at: Instant,
    behaviour: Mutex<Behaviour>,
    /// Whether refusals are repeated; shared with the connections.
    repeats_refusals: Arc<AtomicBool>,
    /// Number of calls while refusals are repeated.
    repeating_calls: AtomicU64,
    slots: Semaphore,
    in_flight: AtomicU64,
    stats: Mutex<UpstreamStats>,
    /// Number of runs of each POST request, by its body.
    runs: Mutex<HashMap<String, u32>>,
    client: Client<HttpConnector, Full<Bytes>>,
}

/// Serves until it has left or crashed.
///
/// # Errors
///
/// Returns [`StandinError::Io`] if it cannot listen.
pub async fn serve(cfg: UpstreamConfig) -> Result<(), StandinError> {
    let addr = cfg.listen_addr;
    let listener =
        TcpListener::bind(addr).await.map_err(StandinError::io(format!("listen on {addr}")))?;
    let state = Arc::new(State::new(cfg));
    if let Some(node) = state.cfg.announce_to {
        tokio::spawn(announce_forever(Arc::clone(&state), node));
    }
    let accept = accept_forever(Arc::clone(&state), listener);
    tokio::select! {
        () = accept => {}
        () = wait_until_drained(&state) => {}
    }
    Ok(())
}

async fn accept_forever(state: Arc<State>, listener: TcpListener) {
    loop {
        let Ok((stream, _)) = listener.accept().await else {
            continue;
        };
        // Failing to disable Nagle's algorithm only adds latency.
        let _ = stream.set_nodelay(true);
        let state = Arc::clone(&state);
        let io = RepeatingIo::new(stream, Arc::clone(&state.repeats_refusals));
        tokio::spawn(async move {
            let service = service_fn(move |req| {
                let state = Arc::clone(&state);
                async move { Ok::<_, Infallible>(state.handle(req).await) }
            });
            // The node notices a broken connection itself.
            let _ = http1::Builder::new().serve_connection(TokioIo::new(io), service).await;
        });
    }
}

/// Returns once the upstream has started to leave, the notice has passed and no request is in
/// progress.
async fn wait_until_drained(state: &State) {
    loop {
        tokio::time::sleep(ANNOUNCE_INTERVAL / 5).await;
        if state.behaviour().leaving {
            tokio::time::sleep(LEAVE_NOTICE).await;
            while state.in_flight.load(Ordering::Acquire) > 0 {
                tokio::time::sleep(ANNOUNCE_INTERVAL / 5).await;
            }
            return;
        }
    }
}

async fn announce_forever(state: Arc<State>, node: SocketAddr) {
    loop {
        let sent_leaving = state.behaviour().leaving;
        let announcement = state.announcement();
        // The node may not have started yet, and the next announcement follows soon.
        let _ = state.post(node, "/announce", &announcement).await;
        let mut waited = Duration::ZERO;
        while waited < ANNOUNCE_INTERVAL && state.behaviour().leaving == sent_leaving {
            let step = ANNOUNCE_INTERVAL / 10;
            tokio::time::sleep(step).await;
            waited += step;
        }
    }
}

impl State {
    fn new(cfg: UpstreamConfig) -> State {
        let mut connector = HttpConnector::new();
        connector.set_nodelay(true);
        let slots = cfg.slots as usize;
        let process_start = std::time::SystemTime::now()
            .duration_since(std::time::UNIX_EPOCH)
            .map_or(0, |time| time.as_nanos() as u64);
        State {
            cfg,
            process_start,
            started_at: Instant::now(),
            behaviour: Mutex::new(Behaviour::normal()),
            repeats_refusals: Arc::default(),
            repeating_calls: AtomicU64::new(0),
            slots: Semaphore::new(slots),
            in_flight: AtomicU64::new(0),
            stats: Mutex::default(),
            runs: Mutex::default(),
            client: Client::builder(TokioExecutor::new()).build(connector),
        }
    }

    fn behaviour(&self) -> MutexGuard<'_, Behaviour> {
        self.behaviour.lock().expect("a panic while holding the lock poisoned the behaviour")
    }

    fn stats(&self) -> MutexGuard<'_, UpstreamStats> {
        self.stats.lock().expect("a panic while holding the lock poisoned the counters")
    }

    fn announcement(&self) -> Announcement {
        let leaving = self.behaviour().leaving;
        Announcement {
            upstream: UpstreamInfo {
                service: self.cfg.service.clone(),
                slots: self.cfg.slots,
                state: if leaving { UpstreamState::Leaving } else { UpstreamState::Serving },
            },
            addr: self.cfg.listen_addr,
            connections: self.cfg.connections,
            start: self.process_start,
            ttl_ms: ANNOUNCE_TTL_MS,
            instance: None,
            sequence: 0,
            cold_ms: 0,
        }
    }

    async fn post<T: serde::Serialize>(
        &self,
        to: SocketAddr,
        path: &str,
        value: &T,
    ) -> Result<StatusCode, StandinError> {
        let error =
            |cause: String| StandinError::Http { operation: format!("POST {to}{path}"), cause };
        let body = serde_json::to_vec(value).map_err(|err| error(err.to_string()))?;
        let req = Request::post(format!("http://{to}{path}"))
            .body(Full::from(body))
            .map_err(|err| error(err.to_string()))?;
        let response = self.client.request(req).await.map_err(|err| error(err.to_string()))?;
        Ok(response.status())
    }

    async fn handle(&self, req: Request<Incoming>) -> Response<Full<Bytes>> {
        match req.uri().path() {
            // Always reports healthy, so that a node which trusts it would be misled under
            // overload.
            "/health" => text(StatusCode::OK, "healthy, no load\n"),
            "/stats" => self.stats_response(),
            "/behaviour" => self.set_behaviour(req).await,
            _ => self.handle_call(req).await,
        }
    }

    fn stats_response(&self) -> Response<Full<Bytes>> {
        match serde_json::to_string(&*self.stats()) {
            Ok(json) => text(StatusCode::OK, &json),
            Err(_) => text(StatusCode::INTERNAL_SERVER_ERROR, "not representable\n"),
        }
    }

    async fn set_behaviour(&self, req: Request<Incoming>) -> Response<Full<Bytes>> {
        let body = match req.into_body().collect().await {
            Ok(body) => body.to_bytes(),
            Err(_) => return text(StatusCode::BAD_REQUEST, "cut\n"),
        };
        match serde_json::from_slice::<Behaviour>(&body) {
            Ok(behaviour) => {
                self.repeats_refusals.store(behaviour.repeats_refusals, Ordering::Release);
                *self.behaviour() = behaviour;
                text(StatusCode::OK, "set\n")
            }
            Err(_) => text(StatusCode::BAD_REQUEST, "malformed\n"),
        }
    }

    /// Serves a call; the response names the request by its id.
    async fn handle_call(&self, req: Request<Incoming>) -> Response<Full<Bytes>> {
        let id = req.headers().get(headers::REQUEST_ID).cloned();
        let mut response = self.serve_call(req).await;
        if let Some(id) = id {
            response.headers_mut().insert(headers::REQUEST_ID, id);
        }
        response
    }

    async fn serve_call(&self, req: Request<Incoming>) -> Response<Full<Bytes>> {
        let (parts, body) = req.into_parts();
        let Ok(body) = body.collect().await else {
            return text(StatusCode::BAD_REQUEST, "cut\n");
        };
        let body = body.to_bytes();
        if has_crash_marker(parts.uri.path().as_bytes()) || has_crash_marker(&body) {
            // A crash also ends all other requests in progress, as in a real process.
            std::process::abort();
        }
        if self.behaviour().failing {
            let mut response = text(StatusCode::INTERNAL_SERVER_ERROR, "failing\n");
            self.write_signals(response.headers_mut());
            return response;
        }
        if self.refuses_to_repeat() {
            let mut response = text(StatusCode::SERVICE_UNAVAILABLE, "refused\n");
            self.write_signals(response.headers_mut());
            return response;
        }
        let mut run = RunGuard::start(self);
        if self.cfg.sheds_load && run.in_flight > u64::from(self.cfg.slots) {
            run.shed();
            let mut response = text(StatusCode::SERVICE_UNAVAILABLE, "no slot\n");
            self.write_signals(response.headers_mut());
            return response;
        }
        if headers::parse::<u64>(&parts.headers, &headers::DEADLINE) == Some(0) {
            self.stats().late += 1;
        }
        if parts.method == hyper::Method::POST {
            self.record_run(&body);
        }
        let status = self.serve_in_slot(&parts.headers).await;
        run.complete();
        let response_body = vec![b'x'; self.cfg.response_bytes];
        let mut response = Response::new(Full::from(response_body));
        *response.status_mut() = status;
        self.write_signals(response.headers_mut());
        response.headers_mut().insert("x-answer-to", echoed_correlation_id(&parts.headers));
        response
    }

    /// Returns whether a call is refused so that its refusal is repeated.
    fn refuses_to_repeat(&self) -> bool {
        self.repeats_refusals.load(Ordering::Acquire)
            && self.repeating_calls.fetch_add(1, Ordering::AcqRel).is_multiple_of(3)
    }

    /// Writes the headers in which the upstream reports its rate limit and that it is leaving.
    fn write_signals(&self, map: &mut HeaderMap) {
        let behaviour = self.behaviour();
        if behaviour.rate_limit_milli > 0 {
            let limit = f64::from(behaviour.rate_limit_milli) / 1_000.0;
            headers::set(map, headers::RATE_LIMIT, limit);
        }
        if behaviour.says_leaving {
            headers::set(map, headers::LEAVING, 1);
        }
    }

    async fn serve_in_slot(&self, map: &HeaderMap) -> StatusCode {
        // Requests without a slot wait here, and the number of them slows all requests down.
        let Ok(_permit) = self.slots.acquire().await else {
            return StatusCode::SERVICE_UNAVAILABLE;
        };
        let slow = f64::from(self.behaviour().service_time_percent) / 100.0;
        let cold_start = if self.started_at.elapsed() < self.cfg.cold_time { 3.0 } else { 1.0 };
        let factor = self.waiting_slowdown() * slow * cold_start;
        let time = self.cfg.service_time.mul_f64(factor);
        if !time.is_zero() {
            tokio::time::sleep(time).await;
        }
        for path in &self.cfg.downstream_calls {
            let status = self.call(path, map).await;
            if !status.is_success() {
                return StatusCode::BAD_GATEWAY;
            }
        }
        StatusCode::OK
    }

    fn waiting_slowdown(&self) -> f64 {
        let in_flight = self.in_flight.load(Ordering::Acquire) as f64;
        let waiting = (in_flight / f64::from(self.cfg.slots) - 1.0).max(0.0);
        1.0 + SLOWDOWN_PER_WAITING * waiting
    }

    async fn call(&self, path: &str, map: &HeaderMap) -> StatusCode {
        let Some(node) = self.cfg.node_addr else {
            return StatusCode::BAD_GATEWAY;
        };
        let Ok(mut req) = Request::get(format!("http://{node}{path}")).body(Full::default()) else {
            return StatusCode::BAD_GATEWAY;
        };
        if let Some(context) = map.get(headers::CONTEXT) {
            req.headers_mut().insert(headers::CONTEXT, context.clone());
        }
        let response = match self.client.request(req).await {
            Ok(response) => response,
            Err(_) => return StatusCode::BAD_GATEWAY,
        };
        let status = response.status();
        match response.into_body().collect().await {
            Ok(_) => status,
            Err(_) => StatusCode::BAD_GATEWAY,
        }
    }

    /// Appends a run to the run log.
    ///
    /// Panics if that fails, because a run missing from the log would hide a duplicate run.
    fn append_to_run_log(&self, body: &str) {
        let Some(path) = &self.cfg.run_log else {
            return;
        };
        let file = std::fs::OpenOptions::new().create(true).append(true).open(path);
        let written = file.and_then(|mut file| file.write_all(format!("{body}\n").as_bytes()));
        written.expect("the run log is not writable");
    }

    /// Records a run under the first line of its body. A second line must have the length that the
    /// first one ends with; otherwise the run is recorded as one of a [`CORRUPT`] body.
    fn record_run(&self, body: &[u8]) {
        let text = String::from_utf8_lossy(body);
        let key = match text.split_once('\n') {
            Some((first, rest)) if first.ends_with(&format!(" {}", rest.len())) => first.to_owned(),
            Some((first, _)) => format!("{CORRUPT} {first}"),
            None => text.into_owned(),
        };
        self.append_to_run_log(&key);
        let mut runs =
            self.runs.lock().expect("a panic while holding the lock poisoned the run counts");
        let count = runs.entry(key).or_default();
        *count += 1;
        if *count > 1 {
            self.stats().duplicates += 1;
        }
    }
}

fn has_crash_marker(bytes: &[u8]) -> bool {
    bytes.windows(CRASH_MARKER.len()).any(|window| window == CRASH_MARKER.as_bytes())
}

/// Returns the caller's correlation id, by which it can check that the response is for its request.
fn echoed_correlation_id(map: &HeaderMap) -> HeaderValue {
    map.get("x-mark").cloned().unwrap_or_else(|| HeaderValue::from_static("none"))
}

fn text(status: StatusCode, body: &str) -> Response<Full<Bytes>> {
    let mut response = Response::new(Full::from(body.to_owned()));
    *response.status_mut() = status;
    response
}

/// Counts one request, also when it is dropped because the caller disconnected.
struct RunGuard<'a> {
    state: &'a State,
    in_flight: u64,
    ended: bool,
}

impl<'a> RunGuard<'a> {
    fn start(state: &'a State) -> RunGuard<'a> {
        let in_flight = state.in_flight.fetch_add(1, Ordering::AcqRel) + 1;
        let mut stats = state.stats();
        stats.started += 1;
        stats.peak_in_flight = stats.peak_in_flight.max(in_flight);
        RunGuard { state, in_flight, ended: false }
    }

    fn complete(&mut self) {
        self.ended = true;
        self.state.stats().completed += 1;
    }

    fn shed(&mut self) {
        self.ended = true;
        self.state.stats().shed += 1;
    }
}

impl Drop for RunGuard<'_> {
    fn drop(&mut self) {
        self.state.in_flight.fetch_sub(1, Ordering::AcqRel);
        if !self.ended {
            self.state.stats().cancelled += 1;
        }
    }
}
