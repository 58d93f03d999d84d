//! Rate limit that an upstream names in its responses.

use std::time::Duration;

use crate::time::Timestamp;

/// Time for which unused requests may be saved up and sent at once. Far below the seconds over
/// which an upstream notices that it gets too much, but enough for the gate to use the limit fully
/// although requests arrive unevenly.
const BURST_SECONDS: f64 = 0.25;
/// Lowest rate at which requests are sent. A response is the only way to learn that an upstream
/// which accepts nothing, or almost nothing, has recovered.
const MIN_PER_SECOND: f64 = 0.5;

/// Start or end of a rate limit that a response brought. Upstreams may name a slightly different
/// limit in each response, so other changes are not reported.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum RateLimitChange {
    /// The upstream names this limit, in requests per second, and named none before.
    Started(f64),
    /// The upstream no longer names a limit.
    Ended,
}

/// Rate limit that an upstream names in its responses, for as long as it names it, and the token
/// bucket that enforces it.
///
/// Responses may be handled in another order than they were sent. So the limit ends only with a
/// response to a request that was dispatched after the last response that named it.
///
/// ```
/// use snipehollow_core::admission::{RateLimitChange, UpstreamRateLimit};
/// use snipehollow_core::time::Timestamp;
///
/// let ms = Timestamp::from_millis;
/// let mut limit = UpstreamRateLimit::default();
/// assert_eq!(limit.observe(ms(50), ms(10), Some(2.0)), Some(RateLimitChange::Started(2.0)));
/// // This request was dispatched before the limit was named.
/// assert_eq!(limit.observe(ms(60), ms(20), None), None);
/// assert_eq!(limit.observe(ms(90), ms(70), None), Some(RateLimitChange::Ended));
/// ```
#[derive(Clone, Debug, Default)]
pub struct UpstreamRateLimit {
    per_second: Option<f64>,
    /// Whether a response of the upstream was observed, so that other nodes' reports are outdated.
    observed: bool,
    /// Time at which the last response that named the limit was received.
    named_at: Timestamp,
    /// Requests that may be sent at once, at `refilled_at`.
    tokens: f64,
    refilled_at: Timestamp,
}

impl UpstreamRateLimit {
    /// Parses a limit in requests per second; `None` if it is not a number, negative or infinite.
    ///
    /// ```
    /// use snipehollow_core::admission::UpstreamRateLimit;
    ///
    /// assert_eq!(UpstreamRateLimit::parse("15.5"), Some(15.5));
    /// assert_eq!(UpstreamRateLimit::parse("-1"), None);
    /// ```
    pub fn parse(text: &str) -> Option<f64> {
        text.parse().ok().filter(|limit: &f64| limit.is_finite() && *limit >= 0.0)
    }

    /// Returns the limit in requests per second; `None` if the upstream names none.
    pub fn per_second(&self) -> Option<f64> {
        self.per_second
    }

    /// Records a response to a request that was dispatched at `dispatched`, and the limit that the
    /// response names.
    pub fn observe(
        &mut self,
        now: Timestamp,
        dispatched: Timestamp,
        named: Option<f64>,
    ) -> Option<RateLimitChange> {
        if named.is_none() && dispatched <= self.named_at {
            return None;
        }
        if named.is_some() {
            self.named_at = now;
        }
        self.observed = true;
        let before = self.per_second;
        self.set(now, named);
        match (before, named) {
            (None, Some(limit)) => Some(RateLimitChange::Started(limit)),
            (Some(_), None) => Some(RateLimitChange::Ended),
            _ => None,
        }
    }

    /// Adopts a limit that another node reports, unless a response of the upstream was observed
    /// already. Of several reported limits the lowest one holds until then.
    ///
    /// Returns whether the limit in force changed.
    pub fn adopt(&mut self, now: Timestamp, reported: f64) -> bool {
        if self.observed || self.per_second.is_some_and(|limit| limit <= reported) {
            return false;
        }
        self.set(now, Some(reported));
        true
    }

    /// Returns the time until `count` requests may be sent; `None` without a limit.
    ///
    /// ```
    /// use std::time::Duration;
    ///
    /// use snipehollow_core::admission::UpstreamRateLimit;
    /// use snipehollow_core::time::Timestamp;
    ///
    /// let mut limit = UpstreamRateLimit::default();
    /// limit.observe(Timestamp::ZERO, Timestamp::ZERO, Some(2.0));
    /// assert_eq!(limit.time_to_tokens(Timestamp::ZERO, 1), Some(Duration::ZERO));
    /// limit.take(Timestamp::ZERO);
    /// assert_eq!(limit.time_to_tokens(Timestamp::ZERO, 1), Some(Duration::from_millis(500)));
    /// ```
    pub fn time_to_tokens(&self, now: Timestamp, count: u32) -> Option<Duration> {
        let rate = effective(self.per_second?);
        let missing = f64::from(count) - self.tokens_at(now, rate);
        Some(Duration::from_secs_f64((missing / rate).max(0.0)))
    }

    /// Counts a request that is sent.
    pub fn take(&mut self, now: Timestamp) {
        if let Some(limit) = self.per_second {
            self.tokens = self.tokens_at(now, effective(limit)) - 1.0;
            self.refilled_at = now;
        }
    }

    /// Changes the limit. The tokens saved so far are kept up to the new burst; a new limit starts
    /// with one.
    fn set(&mut self, now: Timestamp, named: Option<f64>) {
        if let Some(limit) = named {
            let saved = self.per_second.map_or(1.0, |old| self.tokens_at(now, effective(old)));
            self.tokens = saved.min(burst(effective(limit)));
            self.refilled_at = now;
        }
        self.per_second = named;
    }

    fn tokens_at(&self, now: Timestamp, rate: f64) -> f64 {
        let passed = now.since(self.refilled_at).as_secs_f64();
        (self.tokens + passed * rate).min(burst(rate))
    }
}

/// Returns the rate at which requests are sent under a named limit, in requests per second.
fn effective(named: f64) -> f64 {
    named.max(MIN_PER_SECOND)
}

/// Returns how many requests may be sent at once at a rate.
fn burst(rate: f64) -> f64 {
    (rate * BURST_SECONDS).max(1.0)
}
