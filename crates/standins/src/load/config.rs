//! Configuration of a load.

use std::net::SocketAddr;
use std::time::Duration;

use hyper::Method;

/// Part of a run with a constant mean rate.
#[derive(Clone, Debug)]
pub struct Phase {
    /// Mean requests per second of all kinds together; arrivals are a Poisson process.
    pub rate: f64,
    /// How long the phase lasts.
    pub duration: Duration,
}

/// Kind of request, one row of the report.
#[derive(Clone, Debug)]
pub struct RequestKind {
    /// Name in the report and the beginning of the body of each request.
    pub name: String,
    /// HTTP method.
    pub method: Method,
    /// Path, whose first segment is the service.
    pub path: String,
    /// Weight in the random choice of a kind, relative to those of the other kinds.
    pub share: f64,
    /// Whether `,ticket` was given: the requests must never be repeated and need a ticket.
    pub needs_ticket: bool,
    /// Time limit for a response to count as good.
    pub deadline: Duration,
}

/// Configuration of one run.
#[derive(Clone, Debug)]
pub struct LoadConfig {
    /// Caller listeners of the entry nodes; each request goes to a random one.
    pub targets: Vec<SocketAddr>,
    /// Phases, run one after the other.
    pub phases: Vec<Phase>,
    /// Kinds of requests; must not be empty.
    pub kinds: Vec<RequestKind>,
    /// Maximum retries by the caller after a failure, made without backoff until the deadline.
    pub immediate_retries: u32,
    /// Seed of arrival times and random choices.
    pub seed: u64,
}

impl RequestKind {
    /// Parses `NAME,METHOD,PATH,SHARE,DEADLINE_MS` with an optional `,ticket`.
    ///
    /// Returns `None` if the text has another form.
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
    /// Parses `RATExSECONDS`, such as `100x5`.
    ///
    /// Returns `None` if the text has another form.
    pub fn parse(text: &str) -> Option<Phase> {
        let (rate, seconds) = text.split_once('x')?;
        let duration = Duration::from_secs_f64(seconds.parse().ok()?);
        Some(Phase { rate: rate.parse().ok()?, duration })
    }
}
