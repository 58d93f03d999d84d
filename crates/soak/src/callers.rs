//! Simulated callers that keep their connections open and record the outcomes reported to them.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};

use hyper::{HeaderMap, Method};
use snipehollow_core::outcome::Outcome;
use snipehollow_core::rng::Rng;
use snipehollow_standins::load::{CallResult, CallerClient};
use snipehollow_wire::headers;

/// Mean pause of a caller between two requests; each pause is 0.5 to 1.5 times as long.
const MEAN_PAUSE: Duration = Duration::from_millis(40);
/// Maximum calls for one order, including the first one that only gets a ticket.
const MAX_CALLS_PER_ORDER: usize = 4;
/// Share of the orders that have a large body.
const UPLOAD_SHARE: f64 = 0.15;
/// Maximum size of a large body, in bytes.
const MAX_UPLOAD_BYTES: usize = 360_000;
/// Time limit after which a caller gives up on an order.
const ORDER_TIME_LIMIT: Duration = Duration::from_secs(6);

/// Responses that a caller got for one order.
#[derive(Clone, Debug)]
pub struct OrderRecord {
    /// First line of the body, unique in the soak.
    pub body: String,
    /// Outcome reported by each response; `None` where there was no complete response.
    pub outcomes: Vec<Option<Outcome>>,
    /// Whether at least one response was a success.
    pub succeeded: bool,
}

/// Results of all callers of a soak.
#[derive(Debug, Default)]
pub struct CallerRecord {
    /// Orders, in the sequence in which their callers finished with them.
    pub orders: Mutex<Vec<OrderRecord>>,
    /// Responses that belonged to another request.
    pub mismatched: AtomicU64,
    /// Reads sent.
    pub reads: AtomicU64,
    /// Reads that succeeded.
    pub good_reads: AtomicU64,
}

/// Runs one caller until `stop` is set.
pub async fn run_caller(
    number: u64,
    seed: u64,
    entries: Vec<SocketAddr>,
    record: Arc<CallerRecord>,
    stop: Arc<AtomicBool>,
) {
    let client = CallerClient::new();
    let mut rng = Rng::new(seed ^ (number << 32));
    let mut sent = 0;
    while !stop.load(Ordering::Acquire) {
        sent += 1;
        let correlation_id = format!("{number}-{sent}");
        if rng.chance(0.4) {
            place_order(&client, &mut rng, &entries, &correlation_id, &record).await;
        } else {
            read(&client, &mut rng, &entries, &correlation_id, &record).await;
        }
        tokio::time::sleep(MEAN_PAUSE.mul_f64(0.5 + rng.unit())).await;
    }
}

async fn read(
    client: &CallerClient,
    rng: &mut Rng,
    entries: &[SocketAddr],
    correlation_id: &str,
    record: &CallerRecord,
) {
    let to = entries[rng.below(entries.len())];
    let path = if rng.chance(0.5) { "/orders/list" } else { "/pricing/quote" };
    let result = client.call(to, &Method::GET, path, correlation_id, HeaderMap::new(), "").await;
    count_mismatch(record, &result);
    record.reads.fetch_add(1, Ordering::Relaxed);
    record.good_reads.fetch_add(u64::from(result.is_ok()), Ordering::Relaxed);
}

/// Gets a ticket and sends the order with it.
///
/// Retries with the same ticket after a failure and, one time in five, also after a success, which
/// must not run the order again.
async fn place_order(
    client: &CallerClient,
    rng: &mut Rng,
    entries: &[SocketAddr],
    correlation_id: &str,
    record: &CallerRecord,
) {
    let name = format!("order-{correlation_id}");
    let (name, body) = if rng.chance(UPLOAD_SHARE) {
        let size = rng.below(MAX_UPLOAD_BYTES);
        let name = format!("{name} {size}");
        let body = format!("{name}\n{}", "x".repeat(size));
        (name, body)
    } else {
        (name.clone(), name)
    };
    let mut order = OrderRecord { body: name, outcomes: Vec::new(), succeeded: false };
    let mut ticket: Option<String> = None;
    let started = Instant::now();
    for _ in 0..MAX_CALLS_PER_ORDER {
        let to = entries[rng.below(entries.len())];
        let mut map = HeaderMap::new();
        if let Some(ticket) = &ticket {
            headers::set(&mut map, headers::TICKET, ticket);
        }
        let result =
            client.call(to, &Method::POST, "/orders/new", correlation_id, map, &body).await;
        count_mismatch(record, &result);
        order.outcomes.push(result.outcome);
        order.succeeded |= result.is_ok();
        let is_done = ticket.is_some() && result.is_ok() && !rng.chance(0.2);
        if result.ticket.is_some() {
            ticket = result.ticket;
        }
        if is_done || started.elapsed() > ORDER_TIME_LIMIT {
            break;
        }
    }
    record.orders.lock().unwrap_or_else(PoisonError::into_inner).push(order);
}

fn count_mismatch(record: &CallerRecord, result: &CallResult) {
    record.mismatched.fetch_add(u64::from(result.mismatched), Ordering::Relaxed);
}

/// Sends one read on a new connection.
pub(crate) async fn read_once(to: SocketAddr) -> CallResult {
    CallerClient::new()
        .call(to, &Method::GET, "/orders/list", "recovery", HeaderMap::new(), "")
        .await
}
