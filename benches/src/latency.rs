//! Paired latency measurement: sends the same load over several call paths in short alternating
//! turns, so that changes of the machine's speed affect all of them alike.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::Request;
use hyper::client::conn::http1::{self, SendRequest};
use hyper_util::rt::TokioIo;
use snipehollow_core::rng::Rng;
use tokio::net::TcpStream;
use tokio::task::JoinSet;
use tokio::time::sleep_until;

/// Path of requests from the caller to the upstream: direct, or through one or two nodes.
#[derive(Clone, Debug)]
pub struct CallPath {
    /// Name in the printed table.
    pub name: &'static str,
    /// Address to connect to.
    pub addr: SocketAddr,
    /// Path of the requests.
    pub url_path: &'static str,
}

/// Results of one call path over all its turns.
#[derive(Clone, Debug, Default)]
pub struct CallPathResult {
    /// Latencies of successful requests in microseconds, sorted by [`CallPathResult::sort`].
    pub latencies_us: Vec<u32>,
    /// Number of successful responses on each connection.
    pub responses_per_connection: Vec<u32>,
    /// Number of requests without a successful response.
    pub failures: u32,
}

impl CallPathResult {
    /// Sorts the latencies; must be called before [`CallPathResult::quantile_ms`].
    pub fn sort(&mut self) {
        self.latencies_us.sort_unstable();
    }

    /// Returns the latency at quantile `q`, from 0 to 1, in milliseconds; zero without any
    /// response.
    pub fn quantile_ms(&self, q: f64) -> f64 {
        let last = self.latencies_us.len().saturating_sub(1);
        let index = ((self.latencies_us.len() as f64 * q) as usize).min(last);
        f64::from(self.latencies_us.get(index).copied().unwrap_or(0)) / 1e3
    }

    /// Returns the number of responses on the slowest connection and on the median one.
    pub fn slowest_and_median(&self) -> (u32, u32) {
        let mut counts = self.responses_per_connection.clone();
        counts.sort_unstable();
        let median = counts.get(counts.len() / 2).copied().unwrap_or(0);
        (counts.first().copied().unwrap_or(0), median)
    }
}

/// Open connections of one call path, each used by one request at a time.
struct OpenCallPath {
    call_path: CallPath,
    senders: Vec<Arc<tokio::sync::Mutex<SendRequest<Full<Bytes>>>>>,
}

/// Measures the call paths in turns of `turn_length`, `rounds` turns each, at `rate` requests per
/// second, and returns one result per call path.
///
/// # Errors
///
/// Returns an error if a connection cannot be opened.
pub async fn measure_call_paths(
    call_paths: &[CallPath],
    connections: usize,
    rate: f64,
    rounds: usize,
    turn_length: Duration,
    seed: u64,
) -> std::io::Result<Vec<CallPathResult>> {
    let mut open = Vec::new();
    for call_path in call_paths {
        open.push(connect(call_path, connections).await?);
    }
    let results: Vec<Arc<Mutex<CallPathResult>>> = call_paths
        .iter()
        .map(|_| {
            let responses_per_connection = vec![0; connections];
            Arc::new(Mutex::new(CallPathResult {
                responses_per_connection,
                ..CallPathResult::default()
            }))
        })
        .collect();
    let mut rng = Rng::new(seed);
    for round in 0..rounds {
        for i in 0..call_paths.len() {
            // Rotate the order, so that no call path always follows the same other one.
            let i = (i + round) % call_paths.len();
            run_turn(&open[i], &results[i], rate, turn_length, &mut rng).await;
        }
    }
    drop(open);
    Ok(results.into_iter().map(into_sorted).collect())
}

fn into_sorted(result: Arc<Mutex<CallPathResult>>) -> CallPathResult {
    let mut result =
        result.lock().expect("a panic while holding the lock poisoned the result").clone();
    result.sort();
    result
}

async fn connect(call_path: &CallPath, connections: usize) -> std::io::Result<OpenCallPath> {
    let mut senders = Vec::new();
    for _ in 0..connections {
        let stream = TcpStream::connect(call_path.addr).await?;
        stream.set_nodelay(true)?;
        let (sender, driver) =
            http1::handshake(TokioIo::new(stream)).await.map_err(std::io::Error::other)?;
        tokio::spawn(driver);
        senders.push(Arc::new(tokio::sync::Mutex::new(sender)));
    }
    Ok(OpenCallPath { call_path: call_path.clone(), senders })
}

/// Runs one turn: sends at a mean rate, over the connections in random order.
///
/// A request may wait for its connection, and that wait counts as latency. Latency is measured from
/// the time at which the timer fired, not from the scheduled time, because the timer has a
/// resolution of 1 ms.
async fn run_turn(
    open: &OpenCallPath,
    result: &Arc<Mutex<CallPathResult>>,
    rate: f64,
    turn_length: Duration,
    rng: &mut Rng,
) {
    let start = Instant::now();
    let mut due = Duration::ZERO;
    let mut tasks = JoinSet::new();
    let mut order: Vec<usize> = Vec::new();
    while due < turn_length {
        sleep_until((start + due).into()).await;
        if order.is_empty() {
            order = (0..open.senders.len()).collect();
            let count = order.len();
            rng.sample(&mut order, count);
        }
        let index = order.pop().unwrap_or(0);
        let sender = Arc::clone(&open.senders[index]);
        let (url_path, result) = (open.call_path.url_path, Arc::clone(result));
        let fired = Instant::now();
        tasks.spawn(async move {
            let good = send(&sender, url_path).await;
            record_response(&result, index, fired.elapsed(), good);
        });
        due += Duration::from_secs_f64(-(1.0 - rng.unit()).ln() / rate);
    }
    while tasks.join_next().await.is_some() {}
}

async fn send(sender: &tokio::sync::Mutex<SendRequest<Full<Bytes>>>, url_path: &str) -> bool {
    let Ok(req) = Request::get(url_path).header("host", "bench").body(Full::default()) else {
        return false;
    };
    let mut sender = sender.lock().await;
    if sender.ready().await.is_err() {
        return false;
    }
    let Ok(response) = sender.send_request(req).await else {
        return false;
    };
    let good = response.status().is_success();
    response.into_body().collect().await.is_ok() && good
}

fn record_response(result: &Mutex<CallPathResult>, connection: usize, time: Duration, good: bool) {
    let mut result = result.lock().expect("a panic while holding the lock poisoned the result");
    if good {
        result.latencies_us.push(time.as_micros() as u32);
        result.responses_per_connection[connection] += 1;
    } else {
        result.failures += 1;
    }
}
