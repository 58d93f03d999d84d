//! Checks that upstreams which name a rate limit get no more requests than it allows.

use std::time::{Duration, Instant};

use snipehollow_standins::mesh::Mesh;

use crate::invariants::Violation;

/// Rate limit that upstreams name, in requests per second.
pub const RATE_LIMIT: u32 = 3;
/// Time after which nodes must keep to a limit.
const LEARNING_TIME: Duration = Duration::from_secs(1);
/// Requests that may arrive beyond one and a half times what the limit allows.
const SLACK: f64 = 5.0;

/// Upstream that names a rate limit.
#[derive(Clone, Debug)]
pub struct LimitedUpstream {
    /// Index of its host.
    pub host: usize,
    named_at: Instant,
    /// Requests that had arrived at the time from which they count.
    counted_from: Option<(Instant, u64)>,
    /// Whether its node or its process was restarted since, so that requests of nodes that do not
    /// know the limit may have arrived, or the count started anew.
    restarted: bool,
}

impl LimitedUpstream {
    /// Creates the record of an upstream that names the limit from now on.
    pub fn new(host: usize, now: Instant) -> LimitedUpstream {
        LimitedUpstream { host, named_at: now, counted_from: None, restarted: false }
    }

    /// Records that the node or the process of the upstream was restarted.
    pub fn record_restart(&mut self) {
        self.restarted = true;
    }

    /// Returns whether the arrivals are to be read now, because requests count from now on.
    pub fn is_start_due(&self, now: Instant) -> bool {
        self.counted_from.is_none() && now.duration_since(self.named_at) >= LEARNING_TIME
    }

    /// Records the number of requests that have arrived when they begin to count.
    pub fn record_start(&mut self, now: Instant, arrived: u64) {
        self.counted_from = Some((now, arrived));
    }

    /// Checks the number of requests that have arrived until now.
    ///
    /// ```
    /// use std::time::{Duration, Instant};
    /// use snipehollow_soak::rate_limits::LimitedUpstream;
    ///
    /// let start = Instant::now();
    /// let mut upstream = LimitedUpstream::new(0, start);
    /// upstream.record_start(start, 100);
    /// let end = start + Duration::from_secs(2);
    /// assert!(upstream.check("pricing-1", end, 114).is_none());
    /// assert!(upstream.check("pricing-1", end, 115).is_some());
    /// ```
    pub fn check(&self, host: &str, now: Instant, arrived: u64) -> Option<Violation> {
        let (from, before) = self.counted_from.filter(|_| !self.restarted)?;
        let seconds = now.duration_since(from).as_secs_f64();
        let allowed = (f64::from(RATE_LIMIT) * seconds * 1.5 + SLACK) as u64;
        let arrived = arrived.checked_sub(before)?;
        (arrived > allowed).then(|| Violation::RateLimitExceeded {
            host: host.into(),
            arrived,
            allowed,
        })
    }
}

/// Upstreams that name a rate limit now.
#[derive(Clone, Debug, Default)]
pub struct RateLimits {
    limited: Vec<LimitedUpstream>,
}

impl RateLimits {
    /// Returns whether the upstream of a host names the limit.
    pub fn is_limited(&self, host: usize) -> bool {
        self.limited.iter().any(|limited| limited.host == host)
    }

    /// Records that the upstream of a host names the limit from now on.
    pub fn begin(&mut self, host: usize) {
        self.limited.push(LimitedUpstream::new(host, Instant::now()));
    }

    /// Records that the node or the upstream of a host was restarted.
    pub fn record_restart(&mut self, host: usize) {
        let of_host = self.limited.iter_mut().filter(|limited| limited.host == host);
        of_host.for_each(LimitedUpstream::record_restart);
    }

    /// Starts to count the requests at upstreams whose limit nodes must keep to from now on.
    pub fn start_counting(&mut self, mesh: &Mesh) {
        let now = Instant::now();
        for limited in self.limited.iter_mut().filter(|limited| limited.is_start_due(now)) {
            match mesh.upstream_stats(&mesh.plan.hosts[limited.host]) {
                Ok(stats) => limited.record_start(now, stats.started),
                Err(_) => limited.record_restart(),
            }
        }
    }

    /// Ends the limit of the upstream of a host; returns a violation if it got too many requests.
    pub fn end(&mut self, mesh: &Mesh, host: usize) -> Option<Violation> {
        let index = self.limited.iter().position(|limited| limited.host == host)?;
        let limited = self.limited.swap_remove(index);
        let plan = &mesh.plan.hosts[host];
        let stats = mesh.upstream_stats(plan).ok()?;
        limited.check(&plan.name, Instant::now(), stats.started)
    }
}
