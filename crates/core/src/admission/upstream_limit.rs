//! Rate limit that an upstream names in its responses.

use crate::time::Timestamp;

/// Change of the rate limit that a response brought.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum LimitChange {
    /// The upstream names this limit, in requests per second, and named none before.
    Started(f64),
    /// The upstream names another limit than before, in requests per second.
    Changed(f64),
    /// The upstream no longer names a limit.
    Ended,
}

/// Rate limit that an upstream names in its responses, for as long as it names it.
///
/// Responses may be handled in another order than they were sent. So the limit ends only with a
/// response to a request that was dispatched after the last response that named it.
///
/// ```
/// use snipehollow_core::admission::{LimitChange, UpstreamLimit};
/// use snipehollow_core::time::Timestamp;
///
/// let ms = Timestamp::from_millis;
/// let mut limit = UpstreamLimit::default();
/// assert_eq!(limit.observe(ms(50), ms(10), Some(2.0)), Some(LimitChange::Started(2.0)));
/// // This request was dispatched before the limit was named.
/// assert_eq!(limit.observe(ms(60), ms(20), None), None);
/// assert_eq!(limit.observe(ms(90), ms(70), None), Some(LimitChange::Ended));
/// ```
#[derive(Clone, Debug, Default)]
pub struct UpstreamLimit {
    per_second: Option<f64>,
    /// Time at which the last response that named the limit was received.
    named_at: Timestamp,
}

impl UpstreamLimit {
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
    ) -> Option<LimitChange> {
        let before = self.per_second;
        if named.is_none() && dispatched <= self.named_at {
            return None;
        }
        if named.is_some() {
            self.named_at = now;
        }
        self.per_second = named;
        match (before, named) {
            (None, Some(limit)) => Some(LimitChange::Started(limit)),
            (Some(before), Some(limit)) if before != limit => Some(LimitChange::Changed(limit)),
            (Some(_), None) => Some(LimitChange::Ended),
            _ => None,
        }
    }
}
