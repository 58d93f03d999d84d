//! Tries at the local gate, from arrival to end.

use std::sync::Arc;
use std::time::Duration;

use snipehollow_config::settings::AdmissionMode;
use snipehollow_core::admission::{Action, Arrival, Completion, LoadLevel};
use snipehollow_core::class::{ClassPolicy, Rank};
use snipehollow_core::ids::{CallerKey, ClassName, InstanceId, RequestId, ServiceName, TryId};
use snipehollow_core::quarantine::QuarantineDecision;
use snipehollow_core::reason::Reason;
use snipehollow_core::retry::Allowance;
use snipehollow_core::time::Timestamp;
use tokio::sync::oneshot;
use tokio_util::sync::CancellationToken;

use super::contexts::ParentCall;
use super::state::HostState;
use crate::traffic::Call;

/// Decision of the gate about a try that was waiting for it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum GateDecision {
    /// Send the try to the upstream.
    Dispatch,
    /// Refuse the try, which was not run.
    Refuse(Reason),
}

/// A try that waits for the gate's decision.
pub(crate) struct WaitingTry {
    request: RequestId,
    attempt: u16,
    class: ClassName,
    tx: oneshot::Sender<GateDecision>,
}

/// Result of [`HostState::admit`].
pub(crate) enum Admission {
    /// The try was passed to the gate, which sends its decision through the receiver, possibly at
    /// once. The duration is that of [`HostState::schedule_dispatch`].
    Wait(TryId, oneshot::Receiver<GateDecision>, Option<Duration>),
    /// The try was refused and not run.
    Refused(Reason),
}

/// What the sender of a dispatched try needs to build the request to the upstream.
pub(crate) struct StartedTry {
    pub(crate) addr: std::net::SocketAddr,
    /// Process start number of the upstream.
    pub(crate) start: u64,
    /// Id of the upstream process that should run the request; `None` if the process has no id.
    pub(crate) instance: Option<InstanceId>,
    /// Context token that the upstream passes on with its nested calls.
    pub(crate) context: String,
}

/// Result of a try that ended.
pub(crate) struct EndedTry {
    /// Retry allowance that the try did not spend.
    pub(crate) unspent: Allowance,
    /// Load of the gate after the end; `None` if there is no upstream any more.
    pub(crate) load_level: Option<LoadLevel>,
}

/// Caller key of all requests in admission mode `fixed-limit`, which does not distinguish callers.
const ANY_CALLER: &str = "any";

impl HostState {
    /// Decides whether a try is refused on arrival or passed to the gate.
    pub(crate) fn admit(&mut self, now: Timestamp, call: &Call) -> Admission {
        if let Some(reason) = self.refusal_reason(now, call) {
            return Admission::Refused(reason);
        }
        if !self.charge_budget(now, call) {
            return Admission::Refused(Reason::BudgetSpent);
        }
        self.last_try_id += 1;
        let id = TryId(self.last_try_id);
        let (tx, rx) = oneshot::channel();
        let waiting = WaitingTry {
            request: call.id.clone(),
            attempt: call.attempt,
            class: call.class.name.clone(),
            tx,
        };
        self.waiting_tries.insert(id, waiting);
        let actions = self.handle_arrival(now, id, call);
        self.execute_gate_actions(actions);
        Admission::Wait(id, rx, self.schedule_dispatch(now))
    }

    /// Returns the time until the upstream's rate limit allows the next waiting try, for a task that
    /// then calls [`HostState::dispatch_waiting`]; `None` if none waits for it, or if there is such
    /// a task already.
    fn schedule_dispatch(&mut self, now: Timestamp) -> Option<Duration> {
        if self.dispatch_scheduled {
            return None;
        }
        let wait = self.upstream.as_ref()?.gate.time_to_next_dispatch(now)?;
        self.dispatch_scheduled = true;
        Some(wait)
    }

    /// Dispatches the waiting tries that the upstream's rate limit allows by now.
    ///
    /// Returns the time until the next one is allowed; `None` if the task need not continue.
    pub(crate) fn dispatch_waiting(&mut self, now: Timestamp) -> Option<Duration> {
        let actions = self.upstream.as_mut().map(|upstream| upstream.gate.tick(now));
        self.execute_gate_actions(actions.unwrap_or_default());
        self.dispatch_scheduled = false;
        self.schedule_dispatch(now)
    }

    /// Charges a retry to the retry budget, or credits the budget for a first try.
    ///
    /// Returns false if the budget does not allow the retry.
    fn charge_budget(&mut self, now: Timestamp, call: &Call) -> bool {
        if call.is_retry() {
            return self.retry_budget.spend(now, call.class.rank);
        }
        if call.attempt == 0 {
            // Later tries of the same request must not earn further credit.
            self.retry_budget.record_request(now, call.repeat_share);
        }
        true
    }

    /// Returns the reason why this host runs no requests of a service now, if any: the host or its
    /// upstream is leaving, or there is no upstream of the service.
    pub(crate) fn unavailability(&self, now: Timestamp, service: &ServiceName) -> Option<Reason> {
        if self.admission_stopped {
            return Some(Reason::Leaving);
        }
        let Some(upstream) = &self.upstream else {
            return Some(Reason::NoUpstream);
        };
        if upstream.info.service != *service || !upstream.accepts_requests(now) {
            let leaving = upstream.gate.is_leaving();
            return Some(if leaving { Reason::Leaving } else { Reason::NoUpstream });
        }
        None
    }

    /// Returns the reason to refuse an arriving try before it reaches the gate, if any: the host is
    /// unavailable, or the quarantine does not allow the request to run now.
    ///
    /// Also records the suspicion that a suspect call carries.
    fn refusal_reason(&mut self, now: Timestamp, call: &Call) -> Option<Reason> {
        if let Some(reason) = self.unavailability(now, &call.service) {
            return Some(reason);
        }
        if self.outlasts_entry_node(now, call) {
            return Some(Reason::PredictedLate);
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

    /// Returns whether the entry node of a call is stopping and may end before the call does.
    fn outlasts_entry_node(&self, now: Timestamp, call: &Call) -> bool {
        let (Some(end), Some(upstream)) = (call.entry_end, &self.upstream) else {
            return false;
        };
        let service_time = upstream.gate.expected_service_time(&call.class.name);
        now + service_time > end_with_margin(end, service_time)
    }

    /// Limits the wait of a try, whose entry node ends at `end`; returns whether it waits.
    pub(crate) fn shorten_wait(
        &mut self,
        request: &RequestId,
        attempt: u16,
        end: Timestamp,
    ) -> bool {
        let is_meant =
            |waiting: &WaitingTry| waiting.request == *request && waiting.attempt == attempt;
        let found = self.waiting_tries.iter().find(|(_, waiting)| is_meant(waiting));
        let (Some((id, waiting)), Some(upstream)) = (found, &mut self.upstream) else {
            return false;
        };
        let service_time = upstream.gate.expected_service_time(&waiting.class);
        upstream.gate.shorten_deadline(*id, end_with_margin(end, service_time))
    }

    /// Passes a try to the gate as the admission mode prescribes, and returns the gate's actions.
    fn handle_arrival(&mut self, now: Timestamp, id: TryId, call: &Call) -> Vec<Action> {
        let Some(upstream) = &mut self.upstream else {
            return vec![Action::Refuse(id, Reason::NoUpstream)];
        };
        self.shedding.record_arrival(upstream.gate.expected_service_time(&call.class.name));
        match self.admission_mode {
            AdmissionMode::Full | AdmissionMode::Slots => {
                let service_time = upstream.gate.expected_service_time(&call.class.name);
                let end = call.entry_end.map(|end| end_with_margin(end, service_time));
                let arrival = Arrival {
                    id,
                    class: &call.class,
                    caller: &call.caller,
                    deadline: end.map_or(call.deadline, |end| end.min(call.deadline)),
                };
                upstream.gate.handle_arrival(now, &arrival)
            }
            AdmissionMode::FixedLimit => {
                // The same rank, caller and deadline for all tries, since this mode ignores them.
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

    /// Records that a dispatched try is about to be sent.
    ///
    /// # Errors
    ///
    /// Returns the reason why the try must not be sent any more: the process may have been paused
    /// since the gate decided to dispatch it.
    pub(crate) fn start_try(
        &mut self,
        now: Timestamp,
        id: TryId,
        call: &Call,
        granted: Allowance,
    ) -> Result<StartedTry, Reason> {
        if let Some(reason) = self.unavailability(now, &call.service) {
            return Err(reason);
        }
        if now >= call.deadline {
            return Err(Reason::DeadlinePassed);
        }
        let upstream = self.upstream.as_ref().ok_or(Reason::NoUpstream)?;
        let (addr, start) = (upstream.addr, upstream.start);
        let instance = upstream.instance.clone();
        if self.admission_mode == AdmissionMode::PassThrough {
            self.pass_through_in_flight += 1;
        }
        self.allowances.open(id, granted);
        self.active_runs.start(id, &call.class.name, call.repeat_share);
        self.shedding.record_run_start(now, &call.class.name);
        self.quarantine.start(id, call.fingerprint);
        let context = self.contexts.register(ParentCall {
            id,
            request: call.id.clone(),
            class: Arc::clone(&call.class),
            caller: call.caller.clone(),
            deadline: call.deadline,
            ended: CancellationToken::new(),
        });
        Ok(StartedTry { addr, start, instance, context })
    }

    /// Records the end of a try and fills the slot that becomes free.
    ///
    /// Also accepts a try that was never started, because its caller disconnected or the gate
    /// refused it.
    pub(crate) fn end_try(
        &mut self,
        now: Timestamp,
        started: Timestamp,
        id: TryId,
        completion: Completion,
    ) -> EndedTry {
        self.waiting_tries.remove(&id);
        let was_started = self.contexts.is_registered(id);
        if was_started && self.admission_mode == AdmissionMode::PassThrough {
            self.pass_through_in_flight -= 1;
        }
        if let Some(class) = self.active_runs.end(&id) {
            self.shedding.record_run_end(now, &class);
        }
        let waited = self.contexts.remove(id, now);
        // A request that the upstream refused has not run, so it may still crash upstreams.
        let completed = completion == Completion::Succeeded;
        let cleared = self.quarantine.finish(now, id, completed);
        if let (Some(entry), Some(upstream)) = (cleared, &self.upstream) {
            self.quarantine_changes.push((upstream.info.service.clone(), entry));
        }
        let unspent = self.allowances.close(id);
        let own_time = now.since(started).saturating_sub(waited);
        if let Some(upstream) = &mut self.upstream
            && !upstream.gate.cancel_waiting(id)
        {
            let actions = upstream.gate.finish(now, id, completion, own_time);
            self.execute_gate_actions(actions);
        }
        EndedTry { unspent, load_level: self.load_level() }
    }

    /// Returns the load of the gate, as reported to entry nodes; `None` if there is no upstream.
    pub(crate) fn load_level(&self) -> Option<LoadLevel> {
        self.upstream.as_ref().map(|upstream| upstream.gate.load_level())
    }

    /// Removes an upstream that died, was replaced by another process, or whose announcement
    /// expired.
    ///
    /// The quarantine treats this as a crash during its requests in flight. Its waiting requests
    /// are refused.
    pub(crate) fn remove_upstream(&mut self, now: Timestamp) {
        let Some(mut upstream) = self.upstream.take() else {
            return;
        };
        let service = upstream.info.service.clone();
        let changed = self.quarantine.upstream_died(now);
        let blamed = changed.len();
        self.quarantine_changes.extend(changed.into_iter().map(|entry| (service.clone(), entry)));
        let actions = upstream.gate.mark_leaving();
        let refused = actions.len();
        for action in actions {
            if let Action::Refuse(id, _) = action {
                self.send_decision(id, GateDecision::Refuse(Reason::NoUpstream));
            }
        }
        log::warn!(service = service.as_str(), blamed, refused; "upstream removed");
    }

    /// Returns whether the current upstream is the one at this address.
    pub(crate) fn has_upstream_at(&self, addr: std::net::SocketAddr) -> bool {
        self.upstream.as_ref().is_some_and(|upstream| upstream.addr == addr)
    }

    /// Records the start of a nested call and delegates retry allowance of its parent to it.
    ///
    /// Returns `None` if the parent has ended.
    pub(crate) fn begin_nested_call(&mut self, now: Timestamp, parent: TryId) -> Option<Allowance> {
        let delegated = self.allowances.delegate(parent)?;
        self.contexts.nested_call_started(parent, now);
        Some(delegated)
    }

    /// Records the end of a nested call and returns the allowance that it did not spend to its
    /// parent.
    pub(crate) fn end_nested_call(
        &mut self,
        now: Timestamp,
        parent: TryId,
        delegated: Allowance,
        unspent: Allowance,
    ) {
        self.contexts.nested_call_ended(parent, now);
        self.allowances.return_unspent(parent, delegated, unspent);
    }

    /// Sends the gate's decisions to the tasks that wait for them.
    pub(super) fn execute_gate_actions(&mut self, actions: Vec<Action>) {
        for action in actions {
            match action {
                Action::Dispatch(id) => self.send_decision(id, GateDecision::Dispatch),
                Action::Wait(_) => {}
                Action::Refuse(id, reason) => self.send_decision(id, GateDecision::Refuse(reason)),
            }
        }
    }

    fn send_decision(&mut self, id: TryId, decision: GateDecision) {
        if let Some(waiting) = self.waiting_tries.remove(&id) {
            // The task may have been dropped; its guard then ends the try and frees the slot.
            let _ = waiting.tx.send(decision);
        }
    }
}

/// Returns when a try must be expected to end whose entry node ends at `end`: an expected service time
/// before that, because service times vary.
fn end_with_margin(end: Timestamp, service_time: Duration) -> Timestamp {
    Timestamp::from_micros(end.as_micros().saturating_sub(service_time.as_micros() as u64))
}
