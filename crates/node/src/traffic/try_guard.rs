//! End of a try at the local gate.

use snipehollow_core::admission::{Completion, LoadLevel};
use snipehollow_core::ids::TryId;
use snipehollow_core::retry::Allowance;
use snipehollow_core::time::Timestamp;

use super::TrafficContext;

/// Frees the slot of a try exactly once, even if its task is dropped because the caller
/// disconnected.
pub(super) struct TryGuard {
    traffic: TrafficContext,
    pub(super) id: TryId,
    /// Time from which the service time counts: when the try was dispatched.
    pub(super) started: Timestamp,
    ended: bool,
}

impl TryGuard {
    pub(super) fn new(traffic: &TrafficContext, id: TryId) -> TryGuard {
        let started = traffic.shared.clock.now();
        TryGuard { traffic: traffic.clone(), id, started, ended: false }
    }

    /// Ends the try; returns its unspent allowance and the load of the gate.
    pub(super) fn end(&mut self, completion: Completion) -> (Allowance, Option<LoadLevel>) {
        self.ended = true;
        let now = self.traffic.shared.clock.now();
        let ended = self.traffic.shared.host().end_try(now, self.started, self.id, completion);
        (ended.unspent, ended.load_level)
    }
}

impl Drop for TryGuard {
    fn drop(&mut self) {
        if !self.ended {
            self.end(Completion::Failed);
        }
    }
}
