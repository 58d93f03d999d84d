//! Time that a class of requests takes at one host.

use std::time::Duration;

use crate::time::Timestamp;

/// Weight of one sample in the mean and in the deviation.
const SAMPLE_WEIGHT: f64 = 0.15;
/// Deviations above the mean that are expected of a request; leaves about one in ten above.
const DEVIATIONS: f64 = 1.3;
/// Time after which an observation without new samples counts for a third.
const FADE: Duration = Duration::from_secs(4);

/// Moving mean and deviation of the time that a class of requests takes at one host.
#[derive(Clone, Copy, Debug, Default)]
pub struct LatencyStats {
    mean: f64,
    deviation: f64,
    samples: u32,
    updated: Timestamp,
}

impl LatencyStats {
    /// Adds the time of a complete answer, or the time after which none had come.
    pub fn record(&mut self, now: Timestamp, elapsed: Duration) {
        let seconds = elapsed.as_secs_f64();
        // The first samples count by their number, so that one of them cannot mislead long.
        let weight = SAMPLE_WEIGHT.max(1.0 / f64::from(self.samples + 1));
        let error = seconds - self.mean;
        self.mean += weight * error;
        self.deviation += weight * (error.abs() - self.deviation);
        self.samples = self.samples.saturating_add(1);
        self.updated = now;
    }

    /// Returns the time in seconds that most requests take; `None` before the first sample.
    pub fn expected_seconds(&self) -> Option<f64> {
        (self.samples > 0).then_some(self.mean + DEVIATIONS * self.deviation)
    }

    /// Returns how much the observation still counts, from 1 when fresh towards 0.
    pub fn confidence(&self, now: Timestamp) -> f64 {
        if self.samples == 0 {
            return 0.0;
        }
        (-now.since(self.updated).as_secs_f64() / FADE.as_secs_f64()).exp()
    }
}
