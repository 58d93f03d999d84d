//! What a run brought.

use std::collections::BTreeMap;
use std::time::Duration;

use snipehollow_core::data_type;

/// Length of one interval of a [`LoadReport`].
pub const INTERVAL: Duration = Duration::from_millis(100);

data_type! {
    /// What one kind of request brought.
    #[derive(Default)]
    pub struct KindReport {
        /// Requests of callers.
        pub requests: u64,
        /// Calls, the callers' own repeats included.
        pub calls: u64,
        /// Whole answers within the deadline.
        pub good: u64,
        /// Whole answers after the deadline.
        pub late: u64,
        /// Last answer says that the request was not run.
        pub not_run: u64,
        /// Last answer says that the request may have run, or there was none.
        pub unknown: u64,
        /// Answers that belong to another request.
        #[serde(rename = "foreign")]
        pub mismatched: u64,
        /// Reasons of the last answer of failed requests.
        pub reasons: BTreeMap<String, u64>,
        /// Times of good answers, in microseconds.
        #[serde(skip)]
        pub latencies_us: Vec<u32>,
    }

    /// Good answers of one interval of [`INTERVAL`], by the time of the request.
    #[derive(Default)]
    pub struct IntervalReport {
        /// Requests of callers.
        pub requests: u64,
        /// Whole answers within the deadline.
        pub good: u64,
    }

    /// What a run brought.
    #[derive(Default)]
    pub struct LoadReport {
        /// By kind of request.
        pub kinds: BTreeMap<String, KindReport>,
        /// By interval of the run.
        pub intervals: Vec<IntervalReport>,
    }
}

impl KindReport {
    /// Returns a quantile of the times of good answers.
    pub fn latency_quantile(&self, q: f64) -> Duration {
        let mut sorted = self.latencies_us.clone();
        sorted.sort_unstable();
        let index = ((sorted.len() as f64 * q) as usize).min(sorted.len().saturating_sub(1));
        Duration::from_micros(u64::from(sorted.get(index).copied().unwrap_or(0)))
    }

    /// Returns the share of requests with a good answer.
    pub fn good_share(&self) -> f64 {
        self.good as f64 / (self.requests.max(1)) as f64
    }
}

impl LoadReport {
    /// Returns all good answers.
    pub fn good(&self) -> u64 {
        self.kinds.values().map(|kind| kind.good).sum()
    }

    /// Returns the good answers per second of requests in a span of the run.
    pub fn goodput(&self, from: Duration, to: Duration) -> f64 {
        let good: u64 = self.intervals_between(from, to).iter().map(|interval| interval.good).sum();
        good as f64 / (to - from).as_secs_f64()
    }

    /// Returns the time after `from` until requests are served again: the first interval
    /// from which on every window of one second has at least this share of good answers.
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

    /// Returns a table by kind.
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
