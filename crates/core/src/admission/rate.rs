//! Token bucket for the rate limits that operators set on classes.

use crate::class::RateLimit;
use crate::time::Timestamp;

/// Token bucket that refills at the rate of a [`RateLimit`], up to its burst.
#[derive(Clone, Debug)]
pub struct TokenBucket {
    limit: RateLimit,
    tokens: f64,
    updated: Timestamp,
}

impl TokenBucket {
    /// Creates a full bucket.
    pub fn new(limit: RateLimit, now: Timestamp) -> TokenBucket {
        let tokens = f64::from(limit.burst);
        TokenBucket { limit, tokens, updated: now }
    }

    /// Takes one token; returns false if none is left.
    ///
    /// ```
    /// use snipehollow_core::admission::TokenBucket;
    /// use snipehollow_core::class::RateLimit;
    /// use snipehollow_core::time::Timestamp;
    ///
    /// let mut bucket = TokenBucket::new(RateLimit { per_second: 1, burst: 1 }, Timestamp::ZERO);
    /// assert!(bucket.take(Timestamp::ZERO));
    /// assert!(!bucket.take(Timestamp::from_millis(500)));
    /// assert!(bucket.take(Timestamp::from_millis(1_000)));
    /// ```
    pub fn take(&mut self, now: Timestamp) -> bool {
        self.refill(now);
        if self.tokens < 1.0 {
            return false;
        }
        self.tokens -= 1.0;
        true
    }

    /// Returns the rate limit that the bucket enforces.
    pub fn limit(&self) -> &RateLimit {
        &self.limit
    }

    fn refill(&mut self, now: Timestamp) {
        let passed = now.since(self.updated).as_secs_f64();
        let refilled = self.tokens + passed * f64::from(self.limit.per_second);
        self.tokens = refilled.min(f64::from(self.limit.burst));
        self.updated = now;
    }
}
