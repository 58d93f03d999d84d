//! Paired arms of a latency measurement: the same load over several ways, in turns.

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

/// One way from caller to upstream.
#[derive(Clone, Debug)]
pub struct Arm {
    /// Name in the table.
    pub name: &'static str,
    /// Where to connect.
    pub addr: SocketAddr,
    /// Path to ask for.
    pub path: &'static str,
}

/// What one arm brought.
#[derive(Clone, Debug, Default)]
pub struct ArmResult {
    /// Times in microseconds, sorted by [`ArmResult::sort`].
    pub times_us: Vec<u32>,
    /// Answers of each connection.
    pub per_connection: Vec<u32>,
    /// Requests without a good answer.
    pub failures: u32,
}

impl ArmResult {
    /// Sorts the times; call once before the quantiles.
    pub fn sort(&mut self) {
        self.times_us.sort_unstable();
    }

    /// Returns a quantile in milliseconds.
    pub fn quantile_ms(&self, q: f64) -> f64 {
        let last = self.times_us.len().saturating_sub(1);
        let index = ((self.times_us.len() as f64 * q) as usize).min(last);
        f64::from(self.times_us.get(index).copied().unwrap_or(0)) / 1e3
    }

    /// Returns the answers of the slowest connection and of the median one.
    pub fn slowest_and_median(&self) -> (u32, u32) {
        let mut counts = self.per_connection.clone();
        counts.sort_unstable();
        let median = counts.get(counts.len() / 2).copied().unwrap_or(0);
        (counts.first().copied().unwrap_or(0), median)
    }
}

/// Kept connections of one arm.
struct ArmConnections {
    arm: Arm,
    senders: Vec<Arc<tokio::sync::Mutex<SendRequest<Full<Bytes>>>>>,
}

/// Runs the arms in turns of `turn`, `rounds` times, and returns one result an arm.
pub async fn run_arms(
    arms: &[Arm],
    connections: usize,
    rate: f64,
    rounds: usize,
    turn: Duration,
    seed: u64,
) -> std::io::Result<Vec<ArmResult>> {
    let mut open = Vec::new();
    for arm in arms {
        open.push(connect(arm, connections).await?);
    }
    let results: Vec<Arc<Mutex<ArmResult>>> = arms
        .iter()
        .map(|_| {
            let per_connection = vec![0; connections];
            Arc::new(Mutex::new(ArmResult { per_connection, ..ArmResult::default() }))
        })
        .collect();
    let mut rng = Rng::new(seed);
    for round in 0..rounds {
        for i in 0..arms.len() {
            // The order changes, so that no arm always follows the same other one.
            let i = (i + round) % arms.len();
            run_turn(&open[i], &results[i], rate, turn, &mut rng).await;
        }
    }
    drop(open);
    Ok(results.into_iter().map(take).collect())
}

fn take(result: Arc<Mutex<ArmResult>>) -> ArmResult {
    let mut result = result.lock().expect("a request panicked").clone();
    result.sort();
    result
}

async fn connect(arm: &Arm, connections: usize) -> std::io::Result<ArmConnections> {
    let mut senders = Vec::new();
    for _ in 0..connections {
        let stream = TcpStream::connect(arm.addr).await?;
        stream.set_nodelay(true)?;
        let (sender, driver) =
            http1::handshake(TokioIo::new(stream)).await.map_err(std::io::Error::other)?;
        tokio::spawn(driver);
        senders.push(Arc::new(tokio::sync::Mutex::new(sender)));
    }
    Ok(ArmConnections { arm: arm.clone(), senders })
}

/// Sends at a fixed rate over the connections in random order.
///
/// A request waits for its connection, and that counts. The time starts when the timer
/// fired and not when the request was due, because the timer's step is 1 ms.
async fn run_turn(
    open: &ArmConnections,
    result: &Arc<Mutex<ArmResult>>,
    rate: f64,
    turn: Duration,
    rng: &mut Rng,
) {
    let start = Instant::now();
    let mut due = Duration::ZERO;
    let mut tasks = JoinSet::new();
    let mut order: Vec<usize> = Vec::new();
    while due < turn {
        sleep_until((start + due).into()).await;
        if order.is_empty() {
            order = (0..open.senders.len()).collect();
            let count = order.len();
            rng.sample(&mut order, count);
        }
        let index = order.pop().unwrap_or(0);
        let sender = Arc::clone(&open.senders[index]);
        let (path, result) = (open.arm.path, Arc::clone(result));
        let fired = Instant::now();
        tasks.spawn(async move {
            let good = send(&sender, path).await;
            note(&result, index, fired.elapsed(), good);
        });
        due += Duration::from_secs_f64(-(1.0 - rng.unit()).ln() / rate);
    }
    while tasks.join_next().await.is_some() {}
}

async fn send(sender: &tokio::sync::Mutex<SendRequest<Full<Bytes>>>, path: &str) -> bool {
    let Ok(req) = Request::get(path).header("host", "bench").body(Full::default()) else {
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

fn note(result: &Mutex<ArmResult>, connection: usize, time: Duration, good: bool) {
    let mut result = result.lock().expect("a request panicked");
    if good {
        result.times_us.push(time.as_micros() as u32);
        result.per_connection[connection] += 1;
    } else {
        result.failures += 1;
    }
}
