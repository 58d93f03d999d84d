//! Tries at the local gate.

use std::sync::Arc;

use snipehollow_config::settings::AdmissionMode;
use snipehollow_core::admission::{Action, Arrival, Completion, LoadLevel};
use snipehollow_core::class::{ClassPolicy, Rank};
use snipehollow_core::ids::{CallerKey, InstanceId, TryId};
use snipehollow_core::quarantine::QuarantineDecision;
use snipehollow_core::reason::Reason;
use snipehollow_core::retry::Allowance;
use snipehollow_core::time::Timestamp;
use tokio::sync::oneshot;
use tokio_util::sync::CancellationToken;

use super::contexts::ParentCall;
use super::state::HostState;
use crate::traffic::Call;

/// Decision of the gate on a waiting try.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum GateDecision {
    /// Send it to the upstream.
    Dispatch,
    /// Refused; it was not run.
    Refuse(Reason),
}

/// Answer to an arriving try.
pub(crate) enum Admission {
    /// Wait for the gate's word.
    Wait(TryId, oneshot::Receiver<GateDecision>),
    /// Refused; it was not run.
    Refused(Reason),
}

/// What is needed to send a dispatched try.
pub(crate) struct StartedTry {
    pub(crate) addr: std::net::SocketAddr,
    pub(crate) instance: Option<InstanceId>,
    pub(crate) context: String,
}

/// What a finished try leaves.
pub(crate) struct EndedTry {
    pub(crate) unspent: Allowance,
    pub(crate) level: Option<LoadLevel>,
}

/// Caller key under which the plain fixed limit puts all requests.
const ANY_CALLER: &str = "any";

impl HostState {
    /// Decides on an arriving try.
    pub(crate) fn admit(&mut self, now: Timestamp, call: &Call) -> Admission {
        if let Some(reason) = self.refusal(now, call) {
            return Admission::Refused(reason);
        }
        if !self.charge_budget(now, call) {
            return Admission::Refused(Reason::BudgetSpent);
        }
        self.next_try += 1;
        let id = TryId(self.next_try);
        let (tx, rx) = oneshot::channel();
        self.waiters.insert(id, tx);
        let actions = self.arrive(now, id, call);
        self.carry_out(actions);
        Admission::Wait(id, rx)
    }

    /// Charges the budget for a retry, or credits it for a first request; false if there is
    /// nothing left for a retry.
    fn charge_budget(&mut self, now: Timestamp, call: &Call) -> bool {
        if call.is_retry() {
            return self.budget.spend(now, call.class.rank);
        }
        if call.attempt == 0 {
            // Later offers of the same request are no further requests.
            self.budget.record_request(now, call.repeat_share);
        }
        true
    }

    fn refusal(&mut self, now: Timestamp, call: &Call) -> Option<Reason> {
        if self.stopped {
            return Some(Reason::Leaving);
        }
        let Some(upstream) = &self.upstream else {
            return Some(Reason::NoUpstream);
        };
        if upstream.facts.service != call.service || !upstream.takes_work(now) {
            let leaving = upstream.gate.is_leaving();
            return Some(if leaving { Reason::Leaving } else { Reason::NoUpstream });
        }
        if call.suspect {
            self.quarantine.suspect(now, call.fingerprint);
        }
        match self.quarantine.check(now, call.fingerprint) {
            QuarantineDecision::Allow | QuarantineDecision::AllowAlone => None,
            QuarantineDecision::SuspectBusy => Some(Reason::SuspectBusy),
            QuarantineDecision::Quarantined => Some(Reason::Quarantined),
        }
    }

    fn arrive(&mut self, now: Timestamp, id: TryId, call: &Call) -> Vec<Action> {
        let Some(upstream) = &mut self.upstream else {
            return vec![Action::Refuse(id, Reason::NoUpstream)];
        };
        self.shedding.offer(upstream.gate.expected_service_time(&call.class.name));
        match self.mode {
            AdmissionMode::Full | AdmissionMode::Slots => {
                let arrival = Arrival {
                    id,
                    class: &call.class,
                    caller: &call.caller,
                    deadline: call.deadline,
                };
                upstream.gate.handle_arrival(now, &arrival)
            }
            AdmissionMode::FixedLimit => {
                let class = ClassPolicy::new(call.class.name.clone(), Rank(0));
                let (Ok(caller), deadline) =
                    (CallerKey::new(ANY_CALLER), Timestamp::from_micros(u64::MAX))
                else {
                    return vec![Action::Refuse(id, Reason::BadRequest)];
                };
                let arrival = Arrival { id, class: &class, caller: &caller, deadline };
                upstream.gate.handle_arrival(now, &arrival)
            }
            AdmissionMode::PassThrough => vec![Action::Dispatch(id)],
        }
    }

    /// Records that a try is about to be sent; `None` if the upstream is gone.
    pub(crate) fn start_try(
        &mut self,
        now: Timestamp,
        id: TryId,
        call: &Call,
        granted: Allowance,
    ) -> Option<StartedTry> {
        let upstream = self.upstream.as_ref()?;
        let (addr, instance) = (upstream.addr, upstream.instance.clone());
        if self.mode == AdmissionMode::PassThrough {
            self.pass_through_running += 1;
        }
        self.ledger.open(id, granted);
        self.runs.start(id, &call.class.name, call.repeat_share);
        self.shedding.run_started(now, &call.class.name);
        self.quarantine.start(id, call.fingerprint);
        let context = self.contexts.open(ParentCall {
            id,
            request: call.id.clone(),
            class: Arc::clone(&call.class),
            caller: call.caller.clone(),
            deadline: call.deadline,
            ended: CancellationToken::new(),
        });
        Some(StartedTry { addr, instance, context })
    }

    /// Records the end of a try, started or not, and fills the freed slot.
    pub(crate) fn end_try(
        &mut self,
        now: Timestamp,
        started: Timestamp,
        id: TryId,
        completion: Completion,
    ) -> EndedTry {
        self.waiters.remove(&id);
        let was_started = self.contexts.is_open(id);
        if was_started && self.mode == AdmissionMode::PassThrough {
            self.pass_through_running -= 1;
        }
        if let Some(class) = self.runs.end(&id) {
            self.shedding.run_ended(now, &class);
        }
        let waited = self.contexts.close(id, now);
        let cleared = self.quarantine.finish(now, id, completion != Completion::Failed);
        if let (Some(entry), Some(upstream)) = (cleared, &self.upstream) {
            self.quarantine_changes.push((upstream.facts.service.clone(), entry));
        }
        let unspent = self.ledger.close(id);
        let own_time = now.since(started).saturating_sub(waited);
        if let Some(upstream) = &mut self.upstream
            && !upstream.gate.cancel_waiting(id)
        {
            let actions = upstream.gate.finish(now, id, completion, own_time);
            self.carry_out(actions);
        }
        EndedTry { unspent, level: self.load_level() }
    }

    /// Returns the load that the gate reports.
    pub(crate) fn load_level(&self) -> Option<LoadLevel> {
        self.upstream.as_ref().map(|upstream| upstream.gate.load_level())
    }

    /// Records the death of the upstream: what was in flight is suspected, what waited is
    /// refused.
    pub(crate) fn record_upstream_death(&mut self, now: Timestamp) {
        let Some(mut upstream) = self.upstream.take() else {
            return;
        };
        let service = upstream.facts.service.clone();
        let changed = self.quarantine.upstream_died(now);
        let blamed = changed.len();
        self.quarantine_changes.extend(changed.into_iter().map(|entry| (service.clone(), entry)));
        let actions = upstream.gate.mark_leaving();
        let refused = actions.len();
        for action in actions {
            if let Action::Refuse(id, _) = action {
                self.tell(id, GateDecision::Refuse(Reason::NoUpstream));
            }
        }
        log::warn!(service = service.as_str(), blamed, refused; "upstream is gone");
    }

    /// Tells whether the announced upstream is still the one at this address.
    pub(crate) fn has_upstream_at(&self, addr: std::net::SocketAddr) -> bool {
        self.upstream.as_ref().is_some_and(|upstream| upstream.addr == addr)
    }

    /// Lends to a deeper call and counts it as one that its parent waits for.
    pub(crate) fn begin_nested_call(&mut self, now: Timestamp, parent: TryId) -> Option<Allowance> {
        let loan = self.ledger.delegate(parent)?;
        self.contexts.child_started(parent, now);
        Some(loan)
    }

    /// Takes back what a deeper call did not spend.
    pub(crate) fn end_nested_call(
        &mut self,
        now: Timestamp,
        parent: TryId,
        loan: Allowance,
        unspent: Allowance,
    ) {
        self.contexts.child_ended(parent, now);
        self.ledger.return_unspent(parent, loan, unspent);
    }

    pub(super) fn carry_out(&mut self, actions: Vec<Action>) {
        for action in actions {
            match action {
                Action::Dispatch(id) => self.tell(id, GateDecision::Dispatch),
                Action::Wait(_) => {}
                Action::Refuse(id, reason) => self.tell(id, GateDecision::Refuse(reason)),
            }
        }
    }

    fn tell(&mut self, id: TryId, word: GateDecision) {
        if let Some(tx) = self.waiters.remove(&id) {
            // The receiver may be gone: its guard ends the try and frees the slot again.
            let _ = tx.send(word);
        }
    }
}
