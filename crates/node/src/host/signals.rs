//! What the local upstream says about itself in its responses.

use snipehollow_core::admission::LimitChange;
use snipehollow_core::time::Timestamp;

use super::state::HostState;
use crate::adapters::{RateSignal, UpstreamSignals};
use crate::logging::decisions;

impl HostState {
    /// Records the signals in a response of the local upstream to a try that was dispatched at
    /// `dispatched`.
    pub(crate) fn record_signals(
        &mut self,
        now: Timestamp,
        dispatched: Timestamp,
        signals: UpstreamSignals,
    ) {
        let Some(upstream) = &mut self.upstream else {
            return;
        };
        let named = match signals.rate {
            RateSignal::Absent => Some(None),
            RateSignal::Named(limit) => Some(Some(limit)),
            RateSignal::Unreadable => None,
        };
        let change =
            named.and_then(|named| upstream.gate.observe_rate_limit(now, dispatched, named));
        let starts_leaving = signals.leaving && !upstream.said_leaving;
        upstream.said_leaving |= signals.leaving;
        let instance = upstream.instance.as_ref();
        match change {
            Some(LimitChange::Started(limit)) => decisions::log_rate_limit(instance, limit),
            Some(LimitChange::Ended) => decisions::log_rate_limit_end(instance),
            // Some upstreams name a slightly different limit in each response.
            Some(LimitChange::Changed(_)) | None => {}
        }
        if starts_leaving {
            decisions::log_said_leaving(instance);
        }
    }

    /// Returns the rate limit that the local upstream names, in requests per second.
    pub(crate) fn rate_limit(&self) -> Option<f64> {
        self.upstream.as_ref()?.gate.rate_limit()
    }
}
