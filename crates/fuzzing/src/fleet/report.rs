//! Measurements of one run of a fleet.

use std::time::Duration;

/// Measurements of one run of a fleet.
#[derive(Clone, Debug, Default)]
pub struct FleetReport {
    /// Number of ticks and message deliveries that were simulated.
    pub events: u64,
    /// For each killed host, the time until each other host had detected its death.
    pub detection_times: Vec<Duration>,
    /// For each host that left, the time until each other host had recorded that it left.
    pub leave_times: Vec<Duration>,
    /// For each commit, the time until each host had its revision in force.
    pub commit_times: Vec<Duration>,
    /// Number of live hosts that another host considered dead. Not measured: always 0.
    pub false_positives: u64,
    /// Messages that a host sent per second, on average over all hosts.
    pub messages_per_host_second: f64,
    /// Bytes that a host sent per second, on average over all hosts.
    pub bytes_per_host_second: f64,
    /// Time from the end of a partition until all live hosts agreed again, for the last partition
    /// after which they did; `None` if there was none.
    pub convergence_time: Option<Duration>,
}

impl FleetReport {
    /// Returns the median, the 99th percentile and the maximum of `times`, in seconds; zeros if
    /// there are none.
    pub fn summary(times: &[Duration]) -> (f64, f64, f64) {
        let mut sorted = times.to_vec();
        sorted.sort_unstable();
        let quantile = |q: f64| {
            let index = ((sorted.len() as f64 * q) as usize).min(sorted.len().saturating_sub(1));
            sorted.get(index).map_or(0.0, Duration::as_secs_f64)
        };
        (quantile(0.5), quantile(0.99), quantile(1.0))
    }
}
