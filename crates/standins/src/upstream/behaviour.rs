//! Behaviour of a stand-in upstream, and what it counts.

use snipehollow_core::data_type;

data_type! {
    /// Behaviour that tests can change while the upstream runs.
    pub struct Behaviour {
        /// Factor applied to the service time, in percent; 100 is normal.
        #[serde(rename = "slow-percent")]
        pub service_time_percent: u32,
        /// Whether every request fails immediately with status 500.
        pub failing: bool,
        /// Requests per second that its responses name as a rate limit, in thousandths; 0 names
        /// none.
        #[serde(default)]
        pub rate_limit_milli: u32,
        /// Whether its responses say that it is leaving.
        #[serde(default)]
        pub says_leaving: bool,
        /// Whether it refuses every third request, and writes each refusal once more before the
        /// next response on the connection.
        #[serde(default)]
        pub repeats_refusals: bool,
        /// Whether it announces that it is leaving and ends once its requests have completed.
        pub leaving: bool,
    }

    /// Counters since the upstream started.
    #[derive(Default)]
    pub struct UpstreamStats {
        /// Requests that began to run or were shed.
        pub started: u64,
        /// Requests that ran to their end.
        pub completed: u64,
        /// Requests that were cancelled because the caller disconnected.
        pub cancelled: u64,
        /// Requests refused because all slots were taken.
        pub shed: u64,
        /// Requests that arrived with no time left until their deadline.
        pub late: u64,
        /// Additional runs of POST requests whose body was already run before.
        pub duplicates: u64,
        /// Maximum number of requests in progress at once.
        #[serde(rename = "peak")]
        pub peak_in_flight: u64,
    }
}

impl Behaviour {
    /// Returns the behaviour of an upstream that serves at its usual speed.
    pub fn normal() -> Behaviour {
        Behaviour {
            service_time_percent: 100,
            failing: false,
            rate_limit_milli: 0,
            says_leaving: false,
            repeats_refusals: false,
            leaving: false,
        }
    }
}
