//! Load, latency and failures of one host, as observed by this node.

use std::time::Duration;

use crate::admission::LoadLevel;
use crate::collections::FastMap;
use crate::ewma::Ewma;
use crate::ids::ClassName;
use crate::time::Timestamp;

use super::latency::LatencyStats;

/// Result of a try, as evidence of the host's health.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TryResult {
    /// A complete response that was not a server error.
    Succeeded,
    /// Refused by the host's admission control, which does not count as a failure.
    Refused,
    /// The host was unreachable, the response was cut off or timed out, or the upstream failed.
    Failed,
}

/// Age at which a reported load level is no longer used.
const MAX_LEVEL_AGE: Duration = Duration::from_millis(1_000);
/// Number of consecutive failures after which a host should be ejected.
const FAILURES_TO_EJECT: u32 = 5;
/// Duration of the first ejection; each consecutive one lasts twice as long.
const FIRST_EJECTION: Duration = Duration::from_secs(2);
const MAX_EJECTION: Duration = Duration::from_secs(30);
/// Weight of a new try in the moving failure rate.
const FAILURE_SAMPLE_WEIGHT: f64 = 0.1;
/// Share of the announced slots that is assumed as the concurrency limit while no fresh
/// load level is known.
const ASSUMED_LIMIT_SHARE: f64 = 0.25;

/// Load, latency and failures of one host, as observed by this node.
#[derive(Clone, Debug, Default)]
pub struct HostStats {
    load_level: Option<LoadLevel>,
    level_reported_at: Timestamp,
    sent_since_level: u32,
    in_flight: u32,
    failure_rate: Ewma,
    consecutive_failures: u32,
    consecutive_ejections: u32,
    ejected_until: Timestamp,
    latencies: FastMap<ClassName, LatencyStats>,
}

/// Maximum number of classes whose latencies are kept for one host.
const MAX_CLASSES: usize = 256;

impl HostStats {
    /// Records that a try was sent to the host.
    pub fn start_try(&mut self) {
        self.in_flight += 1;
        self.sent_since_level += 1;
    }

    /// Records the result of a try; returns whether the host should be ejected.
    pub fn finish_try(&mut self, result: TryResult) -> bool {
        invariant!(self.in_flight > 0, "a try finished at a host that has none in flight");
        self.in_flight = self.in_flight.saturating_sub(1);
        let failed = result == TryResult::Failed;
        self.failure_rate.add(f64::from(u8::from(failed)), FAILURE_SAMPLE_WEIGHT);
        if !failed {
            self.consecutive_failures = 0;
            self.consecutive_ejections = 0;
            return false;
        }
        self.consecutive_failures += 1;
        self.consecutive_failures >= FAILURES_TO_EJECT
    }

    /// Records the latency of a request of a class, or how long a try waited for a response
    /// without getting one.
    pub fn record_latency(&mut self, now: Timestamp, class: &ClassName, elapsed: Duration) {
        if self.latencies.len() < MAX_CLASSES || self.latencies.contains_key(class) {
            self.latencies.entry(class.clone()).or_default().record(now, elapsed);
        }
    }

    /// Returns the latency of a class; `None` if no request of it was observed.
    pub fn latency(&self, class: &ClassName) -> Option<&LatencyStats> {
        self.latencies.get(class)
    }

    /// Returns the moving failure rate, from 0 to 1.
    pub fn failure_rate(&self) -> f64 {
        self.failure_rate.get().unwrap_or(0.0)
    }

    /// Returns the load of the host with one more request, as a multiple of its concurrency limit.
    ///
    /// The load counts running and queued requests, including those sent since the last report.
    /// `slots` is the number of slots that the upstream announced.
    pub fn projected_utilization(&self, now: Timestamp, slots: u32) -> f64 {
        let (load, limit) = self.load_and_limit(now, slots);
        (load + 1.0) / limit
    }

    /// Records a load level reported by the host.
    pub fn record_load(&mut self, now: Timestamp, load_level: LoadLevel) {
        self.load_level = Some(load_level);
        self.level_reported_at = now;
        self.sent_since_level = 0;
    }

    /// Returns the age of the last reported load level; `None` before the first report.
    pub fn level_age(&self, now: Timestamp) -> Option<Duration> {
        self.load_level.as_ref().map(|_| now.since(self.level_reported_at))
    }

    /// Ejects the host; each consecutive ejection doubles the duration, up to a maximum.
    pub fn eject(&mut self, now: Timestamp) {
        let factor = 1 << self.consecutive_ejections.min(8);
        let duration = (FIRST_EJECTION * factor).min(MAX_EJECTION);
        self.ejected_until = now + duration;
        self.consecutive_ejections += 1;
        self.consecutive_failures = 0;
    }

    /// Returns whether the host is ejected now.
    pub fn is_ejected(&self, now: Timestamp) -> bool {
        self.ejected_until > now
    }

    /// Returns whether a fresh load level shows that the host would refuse this rank.
    pub fn refuses(&self, now: Timestamp, rank: u8) -> bool {
        now.since(self.level_reported_at) < MAX_LEVEL_AGE
            && self.load_level.as_ref().is_some_and(|load_level| !load_level.admits(rank))
    }

    /// Returns the number of tries that this node has in flight at the host.
    pub fn in_flight(&self) -> u32 {
        self.in_flight
    }

    /// Returns the load and the concurrency limit, reported or assumed.
    fn load_and_limit(&self, now: Timestamp, slots: u32) -> (f64, f64) {
        match &self.load_level {
            Some(load_level) if now.since(self.level_reported_at) < MAX_LEVEL_AGE => {
                let reported = load_level.in_flight + load_level.queued + self.sent_since_level;
                (f64::from(reported.max(self.in_flight)), f64::from(load_level.limit.max(1)))
            }
            _ => {
                let assumed = (f64::from(slots) * ASSUMED_LIMIT_SHARE).max(1.0);
                (f64::from(self.in_flight), assumed)
            }
        }
    }
}
