//! What a run brought.

use std::collections::BTreeMap;
use std::time::Duration;

use snipehollow_core::data_type;

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
        pub foreign: u64,
        /// Reasons of the last answer of failed requests.
        pub reasons: BTreeMap<String, u64>,
        /// Times of good answers, in microseconds.
        #[serde(skip)]
        pub latencies_us: Vec<u32>,
    }

    /// Good answers of one second of the run, by the time of the request.
    #[derive(Default)]
    pub struct SecondReport {
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
        /// By second of the run.
        pub seconds: Vec<SecondReport>,
    }
}

impl KindReport {
    /// Returns a quantile of the times of good answers.
    pub fn quantile(&self, q: f64) -> Duration {
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

    /// Returns the good answers per second in a range of seconds.
    pub fn goodput(&self, seconds: std::ops::Range<usize>) -> f64 {
        let length = seconds.len().max(1);
        let good: u64 =
            self.seconds.iter().take(seconds.end).skip(seconds.start).map(|s| s.good).sum();
        good as f64 / length as f64
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
                kind.quantile(0.5).as_secs_f64() * 1e3,
                kind.quantile(0.99).as_secs_f64() * 1e3,
            ));
        }
        table
    }
}
