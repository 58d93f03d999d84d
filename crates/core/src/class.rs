//! Classes of requests and the rules that assign requests to them, as the operators' sheet
//! defines them.

use std::time::Duration;

use crate::ids::{ClassName, ServiceName};

key_type! {
    /// Urgency of a class; 0 is the most urgent.
    pub struct Rank(pub u8);

    /// Whether a request of a class may run more than once.
    pub enum Repeat {
        /// The request is idempotent: nodes and callers may retry it.
        Idempotent,
        /// The request runs at most once, over all attempts of the caller; it needs a ticket.
        Never,
        /// Each attempt of the caller runs at most once. The caller decides on its own whether
        /// to retry, so no ticket is needed.
        OncePerAttempt,
    }
}

data_type! {
    /// Rate limit of a class at one gate.
    ///
    /// Excess requests are not refused for exceeding it, but wait behind all regular requests.
    pub struct RateLimit {
        /// Sustained rate, in requests per second.
        pub per_second: u32,
        /// Maximum number of requests within the limit that arrive at once.
        pub burst: u32,
    }

    /// Policy of one class of requests.
    pub struct ClassPolicy {
        /// Name of the class, unique in the sheet.
        pub name: ClassName,
        /// Urgency, which decides before `worth`.
        pub rank: Rank,
        /// Time limit from arrival at the entry node to the complete response, in milliseconds.
        pub deadline_ms: u32,
        /// Weight among classes of the same rank: slot time is shared in proportion to it.
        pub worth: u32,
        /// Whether the request may run more than once.
        pub repeat: Repeat,
        /// Maximum number of retries that one request may cause over its whole call tree.
        pub retry_allowance: u16,
        /// Rate limit at each gate; `None` if the class is not limited.
        pub rate_limit: Option<RateLimit>,
        /// Response time up to which a response has its full worth, in milliseconds; `None` if no
        /// target is configured.
        #[serde(default)]
        pub target_latency_ms: Option<u32>,
    }

    /// Rule that assigns requests of a service to a class.
    pub struct ClassRule {
        /// Service to which the rule applies.
        pub service: ServiceName,
        /// HTTP method, or `*` for any.
        pub method: String,
        /// Prefix of the path that follows the service's name.
        pub path_prefix: String,
        /// Class of the requests that match the rule.
        pub class: ClassName,
    }
}

impl ClassPolicy {
    /// Creates a class of the given name and rank, with a deadline of one second, worth 1,
    /// idempotent, two retries and no rate limit.
    pub fn new(name: ClassName, rank: Rank) -> ClassPolicy {
        ClassPolicy {
            name,
            rank,
            deadline_ms: 1_000,
            worth: 1,
            repeat: Repeat::Idempotent,
            retry_allowance: 2,
            rate_limit: None,
            target_latency_ms: None,
        }
    }

    /// Sets the time limit for the complete response, in milliseconds.
    pub fn with_deadline_ms(mut self, deadline_ms: u32) -> ClassPolicy {
        self.deadline_ms = deadline_ms;
        self
    }

    /// Sets the weight among classes of the same rank.
    pub fn with_worth(mut self, worth: u32) -> ClassPolicy {
        self.worth = worth;
        self
    }

    /// Sets whether the request may run more than once.
    pub fn with_repeat(mut self, repeat: Repeat) -> ClassPolicy {
        self.repeat = repeat;
        self
    }

    /// Sets the maximum number of retries that one request may cause over its whole call tree.
    pub fn with_retry_allowance(mut self, retry_allowance: u16) -> ClassPolicy {
        self.retry_allowance = retry_allowance;
        self
    }

    /// Sets the rate limit at each gate.
    pub fn with_rate_limit(mut self, rate_limit: RateLimit) -> ClassPolicy {
        self.rate_limit = Some(rate_limit);
        self
    }

    /// Sets the response time up to which a response has its full worth, in milliseconds.
    pub fn with_target_latency_ms(mut self, target_latency_ms: u32) -> ClassPolicy {
        self.target_latency_ms = Some(target_latency_ms);
        self
    }

    /// Returns the time limit for the complete response.
    pub fn deadline(&self) -> Duration {
        Duration::from_millis(u64::from(self.deadline_ms))
    }
}

impl ClassRule {
    /// Returns whether a request to the rule's service with this method and path matches.
    ///
    /// The prefix matches whole path segments: `/quotes` matches `/quotes/7` and `/quotes?x=1`,
    /// but not `/quotesheet`.
    pub fn matches(&self, method: &str, path: &str) -> bool {
        let method_matches = self.method == "*" || self.method.eq_ignore_ascii_case(method);
        let Some(rest) = path.strip_prefix(self.path_prefix.as_str()) else {
            return false;
        };
        let at_boundary = rest.is_empty()
            || self.path_prefix.ends_with('/')
            || rest.starts_with('/')
            || rest.starts_with('?');
        method_matches && at_boundary
    }
}
