//! What this node observed of one host.

use std::time::Duration;

use crate::admission::LoadLevel;
use crate::collections::FastMap;
use crate::ewma::Ewma;
use crate::ids::ClassName;
use crate::time::Timestamp;

use super::latency::LatencyStats;

/// How a try at a host ended, as far as the host's health is concerned.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TryResult {
    /// A complete answer.
    Succeeded,
    /// A refusal by admission: the host works as it should.
    Refused,
    /// Unreachable, cut, timed out, or its upstream failed.
    Failed,
}

/// Age at which a reported load level no longer counts.
const LEVEL_FRESH: Duration = Duration::from_millis(1_000);
/// Failures in a row that set a host aside.
const FAILURES_TO_EJECT: u32 = 5;
const EJECTION_BASE: Duration = Duration::from_secs(2);
const EJECTION_MAX: Duration = Duration::from_secs(30);
/// Weight of one try in the share of failures.
const FAILURE_WEIGHT: f64 = 0.1;
/// Share of the announced slots assumed as limit before the first report.
const ASSUMED_LIMIT_SHARE: f64 = 0.25;

/// What this node observed of one host.
#[derive(Clone, Debug, Default)]
pub struct HostStats {
    level: Option<LoadLevel>,
    level_at: Timestamp,
    sent_since_level: u32,
    in_flight: u32,
    failure_share: Ewma,
    consecutive_failures: u32,
    consecutive_ejections: u32,
    ejected_until: Timestamp,
    latencies: FastMap<ClassName, LatencyStats>,
}

/// Most classes whose times are kept for one host.
const MAX_CLASSES: usize = 256;

impl HostStats {
    /// Records that a try was sent.
    pub fn start_try(&mut self) {
        self.in_flight += 1;
        self.sent_since_level += 1;
    }

    /// Records the end of a try; returns true if the host should be set aside.
    pub fn finish_try(&mut self, result: TryResult) -> bool {
        invariant!(self.in_flight > 0, "a try ended at a host with none in flight");
        self.in_flight = self.in_flight.saturating_sub(1);
        let failed = result == TryResult::Failed;
        self.failure_share.add(f64::from(u8::from(failed)), FAILURE_WEIGHT);
        if !failed {
            self.consecutive_failures = 0;
            self.consecutive_ejections = 0;
            return false;
        }
        self.consecutive_failures += 1;
        self.consecutive_failures >= FAILURES_TO_EJECT
    }

    /// Records the time that a request of a class took, or after which no answer had come.
    pub fn record_latency(&mut self, now: Timestamp, class: &ClassName, elapsed: Duration) {
        if self.latencies.len() < MAX_CLASSES || self.latencies.contains_key(class) {
            self.latencies.entry(class.clone()).or_default().record(now, elapsed);
        }
    }

    /// Returns the times of a class, if any were observed.
    pub fn latency(&self, class: &ClassName) -> Option<&LatencyStats> {
        self.latencies.get(class)
    }

    /// Returns the share of failures among recent tries.
    pub fn failure_share(&self) -> f64 {
        self.failure_share.get().unwrap_or(0.0)
    }

    /// Returns how many times its limit the host has in flight and waiting, counting what was
    /// sent since its last report.
    pub fn projected_utilization(&self, now: Timestamp, slots: u32) -> f64 {
        let (load, limit) = self.load(now, slots);
        (load + 1.0) / limit
    }

    /// Records a load level reported by the host.
    pub fn record_load(&mut self, now: Timestamp, level: LoadLevel) {
        self.level = Some(level);
        self.level_at = now;
        self.sent_since_level = 0;
    }

    /// Returns the age of the last reported load level.
    pub fn level_age(&self, now: Timestamp) -> Option<Duration> {
        self.level.as_ref().map(|_| now.since(self.level_at))
    }

    /// Sets the host aside; each time in a row doubles the duration.
    pub fn eject(&mut self, now: Timestamp) {
        let factor = 1 << self.consecutive_ejections.min(8);
        let duration = (EJECTION_BASE * factor).min(EJECTION_MAX);
        self.ejected_until = now + duration;
        self.consecutive_ejections += 1;
        self.consecutive_failures = 0;
    }

    /// Tells whether the host is set aside.
    pub fn is_ejected(&self, now: Timestamp) -> bool {
        self.ejected_until > now
    }

    /// Tells whether a fresh report says that the host would refuse this rank.
    pub fn refuses(&self, now: Timestamp, rank: u8) -> bool {
        now.since(self.level_at) < LEVEL_FRESH
            && self.level.as_ref().is_some_and(|level| !level.admits(rank))
    }

    /// Returns the tries in flight from this node.
    pub fn in_flight(&self) -> u32 {
        self.in_flight
    }

    fn load(&self, now: Timestamp, slots: u32) -> (f64, f64) {
        match &self.level {
            Some(level) if now.since(self.level_at) < LEVEL_FRESH => {
                let reported = level.in_flight + level.queued + self.sent_since_level;
                (f64::from(reported.max(self.in_flight)), f64::from(level.limit.max(1)))
            }
            _ => {
                let assumed = (f64::from(slots) * ASSUMED_LIMIT_SHARE).max(1.0);
                (f64::from(self.in_flight), assumed)
            }
        }
    }
}
