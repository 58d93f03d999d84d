//! Latency estimate of one class of requests at one host.

use std::time::Duration;

use crate::time::Timestamp;

/// Weight of a new sample in the moving mean and in the moving deviation.
const SAMPLE_WEIGHT: f64 = 0.15;
/// Number of mean deviations that the expected latency lies above the mean; about one request
/// in ten takes longer.
const DEVIATION_FACTOR: f64 = 1.3;
/// Time constant of the exponential decay of confidence: without new samples, an estimate of
/// this age counts for about a third.
const CONFIDENCE_DECAY_TIME_CONSTANT: Duration = Duration::from_secs(4);

/// Moving mean and mean deviation of the latency of one class of requests at one host.
#[derive(Clone, Copy, Debug, Default)]
pub struct LatencyStats {
    mean: f64,
    deviation: f64,
    samples: u32,
    updated: Timestamp,
}

impl LatencyStats {
    /// Records the latency of a complete response, or how long a try waited without getting one.
    pub fn record(&mut self, now: Timestamp, elapsed: Duration) {
        let seconds = elapsed.as_secs_f64();
        // Early samples are averaged with equal weights, so that one unusual value among them
        // does not distort the estimate for long.
        let weight = SAMPLE_WEIGHT.max(1.0 / f64::from(self.samples + 1));
        let error = seconds - self.mean;
        self.mean += weight * error;
        self.deviation += weight * (error.abs() - self.deviation);
        self.samples = self.samples.saturating_add(1);
        self.updated = now;
    }

    /// Returns the latency, in seconds, that about nine in ten requests stay below; `None` before
    /// the first sample.
    pub fn expected_seconds(&self) -> Option<f64> {
        (self.samples > 0).then_some(self.mean + DEVIATION_FACTOR * self.deviation)
    }

    /// Returns the confidence in the estimate: 1 right after a sample, decaying towards 0 without
    /// new ones, and 0 before the first sample.
    pub fn confidence(&self, now: Timestamp) -> f64 {
        if self.samples == 0 {
            return 0.0;
        }
        (-now.since(self.updated).as_secs_f64() / CONFIDENCE_DECAY_TIME_CONSTANT.as_secs_f64())
            .exp()
    }
}
