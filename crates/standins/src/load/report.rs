//! Report of a load: outcomes and latencies by kind of request, and goodput over time.

use std::collections::BTreeMap;
use std::time::Duration;

use snipehollow_core::data_type;

/// Length of each interval in [`LoadReport::intervals`].
pub const INTERVAL: Duration = Duration::from_millis(100);

data_type! {
    /// Results of one kind of request.
    #[derive(Default)]
    pub struct KindReport {
        /// Requests of callers, each counted once however often it was retried.
        pub requests: u64,
        /// Calls sent, including those for a ticket and retries by the callers.
        pub calls: u64,
        /// Requests with a complete successful response within the deadline.
        pub good: u64,
        /// Requests with a complete successful response after the deadline.
        pub late: u64,
        /// Failed requests whose last response reports that the request was not run.
        pub not_run: u64,
        /// Failed requests that may have run: the last response says so, or there was none.
        pub unknown: u64,
        /// Requests whose last response belonged to another request.
        #[serde(rename = "foreign")]
        pub mismatched: u64,
        /// Number of failed requests by the reason code of the last response, `no-answer` without
        /// one.
        pub reasons: BTreeMap<String, u64>,
        /// Latencies of good requests in microseconds, in the order of completion.
        #[serde(skip)]
        pub latencies_us: Vec<u32>,
    }

    /// Counts of the requests that were sent in one interval of length [`INTERVAL`].
    #[derive(Default)]
    pub struct IntervalReport {
        /// Requests of callers.
        pub requests: u64,
        /// Requests with a complete successful response within the deadline.
        pub good: u64,
    }

    /// Results of a run.
    #[derive(Default)]
    pub struct LoadReport {
        /// Results by the name of the kind.
        pub kinds: BTreeMap<String, KindReport>,
        /// Results by the time at which requests were sent, from the start of the run.
        pub intervals: Vec<IntervalReport>,
    }
}

impl KindReport {
    /// Returns the latency of good requests at quantile `q`, from 0 to 1; zero if there are none.
    pub fn latency_quantile(&self, q: f64) -> Duration {
        let mut sorted = self.latencies_us.clone();
        sorted.sort_unstable();
        let index = ((sorted.len() as f64 * q) as usize).min(sorted.len().saturating_sub(1));
        Duration::from_micros(u64::from(sorted.get(index).copied().unwrap_or(0)))
    }

    /// Returns the share of requests that were good, from 0 to 1.
    pub fn good_share(&self) -> f64 {
        self.good as f64 / (self.requests.max(1)) as f64
    }
}

impl LoadReport {
    /// Returns the number of good requests of all kinds.
    pub fn good(&self) -> u64 {
        self.kinds.values().map(|kind| kind.good).sum()
    }

    /// Returns the good requests per second among those sent between `from` and `to`, counted from
    /// the start of the run.
    pub fn goodput(&self, from: Duration, to: Duration) -> f64 {
        let good: u64 = self.intervals_between(from, to).iter().map(|interval| interval.good).sum();
        good as f64 / (to - from).as_secs_f64()
    }

    /// Returns the time from `from` until service has recovered permanently: the start of the first
    /// interval from which every window of one second has at least this share of good requests.
    ///
    /// Returns `None` if the last window of the run is still below the share.
    pub fn recovery_time(&self, from: Duration, share: f64) -> Option<Duration> {
        let rest = self.intervals_between(from, Duration::MAX);
        let window = (1_000 / INTERVAL.as_millis()) as usize;
        let good: Vec<bool> = rest.windows(window).map(|w| meets_share(w, share)).collect();
        let last_bad = good.iter().rposition(|good| !good);
        match last_bad {
            None => Some(Duration::ZERO),
            Some(index) if index + 1 == good.len() => None,
            Some(index) => Some(INTERVAL * (index as u32 + 1)),
        }
    }

    fn intervals_between(&self, from: Duration, to: Duration) -> &[IntervalReport] {
        let index = |at: Duration| {
            ((at.as_millis() / INTERVAL.as_millis()) as usize).min(self.intervals.len())
        };
        &self.intervals[index(from)..index(to)]
    }

    /// Returns the results by kind as a text table.
    pub fn table(&self) -> String {
        let mut table = String::from(
            "kind                requests    calls     good  good%     late  not-run  unknown   p50 ms   p99 ms\n",
        );
        for (name, kind) in &self.kinds {
            table.push_str(&format!(
                "{name:<18} {:>9} {:>8} {:>8} {:>6.2} {:>8} {:>8} {:>8} {:>8.2} {:>8.2}\n",
                kind.requests,
                kind.calls,
                kind.good,
                kind.good_share() * 100.0,
                kind.late,
                kind.not_run,
                kind.unknown,
                kind.latency_quantile(0.5).as_secs_f64() * 1e3,
                kind.latency_quantile(0.99).as_secs_f64() * 1e3,
            ));
        }
        table
    }
}

fn meets_share(intervals: &[IntervalReport], share: f64) -> bool {
    let requests: u64 = intervals.iter().map(|interval| interval.requests).sum();
    let good: u64 = intervals.iter().map(|interval| interval.good).sum();
    good as f64 >= requests as f64 * share
}
