//! Oracle for the gate: models its queue and its running requests as unordered lists.
//!
//! It checks that the gate decides on each arrival, dispatches in order of importance within its
//! slots, and gives the right reason for each refusal.

use std::time::Duration;

use snipehollow_core::admission::{Action, Arrival, Gate, GateConfig, Tier};
use snipehollow_core::class::{ClassPolicy, Rank, RateLimit};
use snipehollow_core::ids::{CallerKey, ClassName, TryId};
use snipehollow_core::reason::Reason;
use snipehollow_core::time::Timestamp;

use crate::generators::GateOp;
use crate::{Violation, check};

const SLOTS: u32 = 4;
const RATE: RateLimit = RateLimit { per_second: 5, burst: 3 };

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct Request {
    id: TryId,
    /// Tier and rank; the smaller value is more important.
    importance: (Tier, u8),
    deadline: Timestamp,
}

/// The gate under test, and the model of its expected state.
struct Checker {
    gate: Gate,
    now: Timestamp,
    last_id: u64,
    slots: u32,
    leaving: bool,
    waiting: Vec<Request>,
    running: Vec<Request>,
    /// Tokens in the bucket of the rate-limited class of each rank.
    tokens: [f64; 4],
    /// Time of the last refill of each bucket.
    refilled_at: [Timestamp; 4],
}

/// Applies operations to a gate and compares its state with the model after each.
///
/// # Errors
///
/// Returns the first decision or state that the model does not allow.
pub fn check_gate(ops: &[GateOp]) -> Result<(), Violation> {
    let mut checker = Checker {
        gate: Gate::new(GateConfig::new().with_queue_per_slot(2), SLOTS),
        now: Timestamp::ZERO,
        last_id: 0,
        slots: SLOTS,
        leaving: false,
        waiting: Vec::new(),
        running: Vec::new(),
        tokens: [f64::from(RATE.burst); 4],
        refilled_at: [Timestamp::ZERO; 4],
    };
    for op in ops {
        checker.apply(op)?;
        checker.compare()?;
    }
    Ok(())
}

impl Checker {
    fn apply(&mut self, op: &GateOp) -> Result<(), Violation> {
        match op {
            GateOp::Arrive { rank, limited, caller, deadline_ms } => {
                self.arrive(*rank, *limited, *caller, *deadline_ms)
            }
            GateOp::Finish { pick, completion } => {
                if self.running.is_empty() {
                    return Ok(());
                }
                let request = self.running.swap_remove(*pick as usize % self.running.len());
                let own_time = Duration::from_millis(u64::from(*pick) % 50);
                let actions = self.gate.finish(self.now, request.id, *completion, own_time);
                self.record_actions(&actions, None)
            }
            GateOp::Cancel { pick } => {
                if self.waiting.is_empty() {
                    return Ok(());
                }
                let request = self.waiting.swap_remove(*pick as usize % self.waiting.len());
                check!(
                    self.gate.cancel_waiting(request.id),
                    "the gate did not cancel {request:?}, which is waiting"
                );
                Ok(())
            }
            GateOp::Advance { ms } => {
                self.now = self.now + Duration::from_millis(u64::from(*ms));
                Ok(())
            }
            GateOp::Expire => {
                let actions = self.gate.tick(self.now);
                self.record_actions(&actions, None)
            }
            GateOp::Leave => {
                self.leaving = true;
                let actions = self.gate.mark_leaving();
                self.record_actions(&actions, None)
            }
            GateOp::Resume => {
                self.leaving = false;
                self.gate.resume();
                Ok(())
            }
            GateOp::SetSlots { slots } => {
                self.slots = u32::from(*slots);
                let actions = self.gate.set_slots(self.now, self.slots);
                self.record_actions(&actions, None)
            }
        }
    }

    fn arrive(
        &mut self,
        rank: u8,
        limited: bool,
        caller: u8,
        deadline_ms: u32,
    ) -> Result<(), Violation> {
        self.last_id += 1;
        let id = TryId(self.last_id);
        let deadline = self.now + Duration::from_millis(u64::from(deadline_ms));
        let mut class =
            ClassPolicy::new(class_name(&format!("class-{rank}-{limited}")), Rank(rank));
        if limited {
            class = class.with_rate_limit(RATE);
        }
        let caller = CallerKey::new(&format!("caller-{caller}"))
            .map_err(|err| Violation::new(err.to_string()))?;
        let tier = self.expected_tier(rank, limited);
        let request = Request { id, importance: (tier, rank), deadline };
        let arrival = Arrival { id, class: &class, caller: &caller, deadline };
        let actions = self.gate.handle_arrival(self.now, &arrival);
        self.record_actions(&actions, Some(request))
    }

    /// Returns the tier of a request that arrives now, and takes a token if its class is
    /// rate-limited.
    ///
    /// Each rate-limited class has its own token bucket, as the sheet defines it. A gate that is
    /// leaving refuses the request before it checks the rate limit, so it takes no token.
    fn expected_tier(&mut self, rank: u8, limited: bool) -> Tier {
        if !limited || self.leaving {
            return Tier::Regular;
        }
        let i = usize::from(rank);
        let elapsed = self.now.since(self.refilled_at[i]).as_secs_f64();
        let refilled = self.tokens[i] + elapsed * f64::from(RATE.per_second);
        self.tokens[i] = refilled.min(f64::from(RATE.burst));
        self.refilled_at[i] = self.now;
        if self.tokens[i] < 1.0 {
            return Tier::Excess;
        }
        self.tokens[i] -= 1.0;
        Tier::Regular
    }

    /// Checks the actions that the gate returned and applies them to the model. `arrived` is the
    /// request that caused them, if they were returned for an arrival.
    fn record_actions(
        &mut self,
        actions: &[Action],
        arrived: Option<Request>,
    ) -> Result<(), Violation> {
        let mut undecided = arrived;
        self.waiting.extend(arrived);
        for action in actions {
            match *action {
                Action::Dispatch(id) => self.record_dispatch(id)?,
                Action::Refuse(id, reason) => self.record_refusal(id, reason)?,
                Action::Wait(id) => {
                    check!(
                        undecided.is_some_and(|r| r.id == id),
                        "the gate queued {id:?}, which did not arrive now or is decided already"
                    );
                }
            }
            undecided = undecided.filter(|request| {
                !matches!(*action, Action::Dispatch(id) | Action::Refuse(id, _) if id == request.id)
            });
        }
        if let Some(request) = arrived {
            let decided = actions.iter().any(|action| {
                matches!(*action, Action::Dispatch(id) | Action::Refuse(id, _) | Action::Wait(id)
                    if id == request.id)
            });
            check!(decided, "the gate made no decision on the arrived {request:?}");
        }
        Ok(())
    }

    fn remove_waiting(&mut self, id: TryId) -> Result<Request, Violation> {
        let index = self.waiting.iter().position(|request| request.id == id);
        match index {
            Some(index) => Ok(self.waiting.swap_remove(index)),
            None => {
                Err(Violation::new(format!("the gate decided on {id:?}, which is not waiting")))
            }
        }
    }

    fn record_dispatch(&mut self, id: TryId) -> Result<(), Violation> {
        let request = self.remove_waiting(id)?;
        check!(!self.leaving, "{request:?} was dispatched to an upstream that is leaving");
        check!(request.deadline > self.now, "{request:?} was dispatched after its deadline");
        check!(
            self.running.len() < self.slots as usize,
            "{request:?} was dispatched although no slot is free"
        );
        let passed_over = self.waiting.iter().find(|other| other.importance < request.importance);
        check!(
            passed_over.is_none(),
            "{request:?} was dispatched, but the more important {passed_over:?} waits"
        );
        self.running.push(request);
        Ok(())
    }

    fn record_refusal(&mut self, id: TryId, reason: Reason) -> Result<(), Violation> {
        let request = self.remove_waiting(id)?;
        match reason {
            Reason::QueueFull | Reason::Evicted => {
                let less_important =
                    self.waiting.iter().find(|other| other.importance > request.importance);
                check!(
                    less_important.is_none(),
                    "{request:?} was shed, but the less important {less_important:?} waits"
                );
            }
            Reason::Leaving => check!(
                self.leaving,
                "{request:?} was refused as leaving, but the upstream still serves"
            ),
            Reason::DeadlinePassed => {
                check!(
                    request.deadline <= self.now,
                    "{request:?} was refused as expired before its deadline"
                );
            }
            Reason::PredictedLate => self.check_prediction(request)?,
            other => {
                return Err(Violation::new(format!(
                    "{request:?} was refused for an unexpected reason: {other}"
                )));
            }
        }
        Ok(())
    }

    /// Checks that a request is not predicted to miss its deadline at a gate that is idle and has
    /// never dispatched a request.
    ///
    /// The gate predicts from the requests that are served before this one; less important
    /// requests that wait must not make it late. This check is weaker: any queued request
    /// counts as a cause.
    fn check_prediction(&self, request: Request) -> Result<(), Violation> {
        let busy = !self.running.is_empty()
            || self.waiting.iter().any(|other| other.importance <= request.importance)
            || self.gate.queued() > 0;
        check!(
            busy || self.gate.stats().dispatched > 0,
            "{request:?} was predicted late, but the gate is idle and was never used"
        );
        Ok(())
    }

    fn compare(&self) -> Result<(), Violation> {
        check!(
            self.gate.in_flight() == self.running.len(),
            "the gate has {} requests in flight, but {} were expected",
            self.gate.in_flight(),
            self.running.len()
        );
        check!(
            self.gate.queued() == self.waiting.len(),
            "the gate has {} requests queued, but {} were expected",
            self.gate.queued(),
            self.waiting.len()
        );
        let limit = self.gate.limit();
        check!(
            limit >= 1 && limit <= self.slots,
            "the concurrency limit is {limit}, outside 1 to {} slots",
            self.slots
        );
        Ok(())
    }
}

fn class_name(text: &str) -> ClassName {
    ClassName::new(text).expect("the oracle's own names are valid")
}
