//! What callers send.

use std::net::SocketAddr;
use std::time::Duration;

use hyper::Method;

/// A time of constant rate.
#[derive(Clone, Debug)]
pub struct Phase {
    /// Requests per second of all kinds together.
    pub rate: f64,
    /// Length.
    pub duration: Duration,
}

/// One kind of request.
#[derive(Clone, Debug)]
pub struct RequestKind {
    /// Name in the report.
    pub name: String,
    /// Method.
    pub method: Method,
    /// Path, service first.
    pub path: String,
    /// Share of all requests, relative to those of the other kinds.
    pub share: f64,
    /// Whether the request may never repeat and needs a ticket.
    pub needs_ticket: bool,
    /// Time in which the answer is useful.
    pub deadline: Duration,
}

/// Load of one run.
#[derive(Clone, Debug)]
pub struct LoadConfig {
    /// Caller faces.
    pub targets: Vec<SocketAddr>,
    /// Phases, one after the other.
    pub phases: Vec<Phase>,
    /// Kinds of requests.
    pub kinds: Vec<RequestKind>,
    /// Repeats by the caller after a failure, each at once.
    pub immediate_retries: u32,
    /// Seed of arrivals and choices.
    pub seed: u64,
}

impl RequestKind {
    /// Reads `NAME,METHOD,PATH,SHARE,DEADLINE_MS` with an optional `,ticket`.
    pub fn parse(text: &str) -> Option<RequestKind> {
        let mut fields = text.split(',');
        let name = fields.next()?.to_owned();
        let method = fields.next()?.parse().ok()?;
        let path = fields.next()?.to_owned();
        let share = fields.next()?.parse().ok()?;
        let deadline = Duration::from_millis(fields.next()?.parse().ok()?);
        let needs_ticket = match fields.next() {
            Some("ticket") => true,
            Some(_) => return None,
            None => false,
        };
        Some(RequestKind { name, method, path, share, needs_ticket, deadline })
    }
}

impl Phase {
    /// Reads `RATExSECONDS`, as `100x5`.
    pub fn parse(text: &str) -> Option<Phase> {
        let (rate, seconds) = text.split_once('x')?;
        let duration = Duration::from_secs_f64(seconds.parse().ok()?);
        Some(Phase { rate: rate.parse().ok()?, duration })
    }
}
