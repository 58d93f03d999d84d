//! What upstreams say about themselves in their responses.

use snipehollow_core::admission::{RateLimitChange, UNKNOWN_PROCESS_START, UpstreamStatus};
use snipehollow_core::ids::HostName;
use snipehollow_core::membership::UpstreamState;
use snipehollow_core::reason::Reason;
use snipehollow_core::time::Timestamp;

use super::state::HostState;
use super::tries::StartedTry;
use crate::adapters::{RateSignal, UpstreamSignals};
use crate::clock::unix_millis;
use crate::logging::decisions;
use crate::traffic::NodeResponse;

impl HostState {
    /// Records the signals in a response of the local upstream to a try that was dispatched at
    /// `dispatched`. Those of a process that was replaced meanwhile are ignored.
    pub(crate) fn record_signals(
        &mut self,
        now: Timestamp,
        started: &StartedTry,
        dispatched: Timestamp,
        signals: UpstreamSignals,
    ) {
        let Some(upstream) = self.upstream.as_mut().filter(|upstream| upstream.received(started))
        else {
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
        let instance = upstream.instance.as_ref();
        match change {
            Some(RateLimitChange::Started(limit)) => decisions::log_rate_limit(instance, limit),
            Some(RateLimitChange::Ended) => decisions::log_rate_limit_end(instance),
            None => {}
        }
        if starts_leaving {
            decisions::log_said_leaving(instance);
            self.mark_upstream_leaving(now);
        }
    }

    /// Records the rate limit that the response of the local upstream to a health check names, in
    /// requests per second.
    pub(crate) fn record_rate_limit(&mut self, now: Timestamp, named: f64) {
        if let Some(upstream) = &mut self.upstream {
            upstream.gate.observe_rate_limit(now, now, Some(named));
            decisions::log_rate_limit(upstream.instance.as_ref(), named);
        }
    }

    /// Stops dispatches to the local upstream, whose process is leaving whatever its later
    /// announcements say.
    pub(super) fn mark_upstream_leaving(&mut self, now: Timestamp) {
        let Some(upstream) = &mut self.upstream else {
            return;
        };
        upstream.said_leaving = true;
        upstream.info.state = UpstreamState::Leaving;
        let actions = upstream.gate.mark_leaving();
        if let Some(instance) = &upstream.instance {
            let start = Some(upstream.start).filter(|start| *start != UNKNOWN_PROCESS_START);
            self.departures.record(now, instance, start, unix_millis());
        }
        self.store_departure(None);
        self.execute_gate_actions(actions);
    }

    /// Returns what the local upstream said about itself, to report to an entry node; `None` if it
    /// said nothing.
    pub(crate) fn local_status(&self) -> Option<UpstreamStatus> {
        let upstream = self.upstream.as_ref()?;
        let rate_limit = upstream.gate.rate_limit();
        let leaving = upstream.said_leaving;
        (rate_limit.is_some() || leaving).then(|| UpstreamStatus {
            start: upstream.start,
            instance: upstream.instance.clone(),
            rate_limit,
            leaving,
        })
    }

    /// Returns whether the process that a try was sent to is leaving.
    pub(crate) fn is_leaving(&self, started: &StartedTry) -> bool {
        let upstream = self.upstream.as_ref().filter(|upstream| upstream.received(started));
        upstream.is_some_and(|upstream| upstream.gate.is_leaving())
    }

    /// Adopts what an entry node knows about the local upstream, if this node does not know it
    /// itself, for example because it was restarted.
    ///
    /// Returns whether a request of this entry node must be refused because the upstream is
    /// leaving.
    pub(crate) fn adopt_status(&mut self, now: Timestamp, status: &UpstreamStatus) -> bool {
        let Some(upstream) = &mut self.upstream else {
            return false;
        };
        let instance = upstream.instance.as_ref();
        if status.forbids(upstream.start, instance) {
            if upstream.start != UNKNOWN_PROCESS_START && !upstream.said_leaving {
                decisions::log_said_leaving(instance);
                self.mark_upstream_leaving(now);
            }
            return true;
        }
        if !status.may_describe(upstream.start, instance) {
            return false;
        }
        if let Some(limit) = status.rate_limit
            && upstream.gate.adopt_rate_limit(now, limit)
        {
            decisions::log_adopted_rate_limit(instance, limit);
        }
        false
    }

    /// Returns what the entry node knows about the upstream on a host.
    pub(crate) fn known_status(&self, now: Timestamp, host: &HostName) -> Option<UpstreamStatus> {
        self.upstream_statuses.get(now, host).cloned()
    }

    /// Records what the response to a try sent at `sent` reports about the upstream on its host.
    pub(crate) fn record_status(
        &mut self,
        now: Timestamp,
        sent: Timestamp,
        host: &HostName,
        response: &NodeResponse,
    ) {
        match &response.upstream_status {
            Some(status) => self.upstream_statuses.record(now, host, status.clone()),
            None if response.reason == Reason::Completed => {
                self.upstream_statuses.record_absent(sent, host);
            }
            None => {}
        }
    }

    /// Returns the rate limit that the local upstream names, in requests per second.
    pub(crate) fn rate_limit(&self) -> Option<f64> {
        self.upstream.as_ref()?.gate.rate_limit()
    }
}
