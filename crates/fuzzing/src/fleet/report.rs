//! What a run of a fleet showed.

use std::time::Duration;

/// What a run of a fleet showed.
#[derive(Clone, Debug, Default)]
pub struct FleetReport {
    /// Events handled.
    pub events: u64,
    /// For each killed host: time until each other host knew that it is dead.
    pub detection_times: Vec<Duration>,
    /// For each leave: time until each other host knew of it.
    pub leave_times: Vec<Duration>,
    /// For each commit: time until each host had it in force.
    pub commit_times: Vec<Duration>,
    /// Live hosts that were held dead by another one without a cause.
    pub false_positives: u64,
    /// Messages sent by one host in a second, on average.
    pub messages_per_host_second: f64,
    /// Bytes sent by one host in a second, on average.
    pub bytes_per_host_second: f64,
    /// Time from the heal of a partition until all agreed again.
    pub convergence_time: Option<Duration>,
}

impl FleetReport {
    /// Returns median, 99th percentile and maximum of some times, in seconds.
    pub fn summary(times: &[Duration]) -> (f64, f64, f64) {
        let mut sorted = times.to_vec();
        sorted.sort_unstable();
        let at = |q: f64| {
            let index = ((sorted.len() as f64 * q) as usize).min(sorted.len().saturating_sub(1));
            sorted.get(index).map_or(0.0, Duration::as_secs_f64)
        };
        (at(0.5), at(0.99), at(1.0))
    }
}
