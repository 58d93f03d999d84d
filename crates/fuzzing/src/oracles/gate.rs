//! Oracle of the gate: plain lists of what waits and what runs.

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
struct Known {
    id: TryId,
    importance: (Tier, u8),
    deadline: Timestamp,
}

struct Model {
    gate: Gate,
    now: Timestamp,
    next: u64,
    slots: u32,
    leaving: bool,
    waiting: Vec<Known>,
    running: Vec<Known>,
    tokens: [f64; 4],
    tokens_at: [Timestamp; 4],
}

/// Feeds events to a gate and compares it with the model after each.
pub fn check_gate(ops: &[GateOp]) -> Result<(), Violation> {
    let mut model = Model {
        gate: Gate::new(GateConfig::new().with_queue_per_slot(2), SLOTS),
        now: Timestamp::ZERO,
        next: 0,
        slots: SLOTS,
        leaving: false,
        waiting: Vec::new(),
        running: Vec::new(),
        tokens: [f64::from(RATE.burst); 4],
        tokens_at: [Timestamp::ZERO; 4],
    };
    for op in ops {
        model.apply(op)?;
        model.compare()?;
    }
    Ok(())
}

impl Model {
    fn apply(&mut self, op: &GateOp) -> Result<(), Violation> {
        match op {
            GateOp::Arrive { rank, limited, caller, deadline_ms } => {
                self.arrive(*rank, *limited, *caller, *deadline_ms)
            }
            GateOp::Finish { pick, completion } => {
                if self.running.is_empty() {
                    return Ok(());
                }
                let known = self.running.swap_remove(*pick as usize % self.running.len());
                let own_time = Duration::from_millis(u64::from(*pick) % 50);
                let actions = self.gate.finish(self.now, known.id, *completion, own_time);
                self.take_in(&actions, None)
            }
            GateOp::Cancel { pick } => {
                if self.waiting.is_empty() {
                    return Ok(());
                }
                let known = self.waiting.swap_remove(*pick as usize % self.waiting.len());
                check!(self.gate.cancel_waiting(known.id), "waiting {known:?} was not cancelled");
                Ok(())
            }
            GateOp::Advance { ms } => {
                self.now = self.now + Duration::from_millis(u64::from(*ms));
                Ok(())
            }
            GateOp::Expire => {
                let actions = self.gate.expire(self.now);
                self.take_in(&actions, None)
            }
            GateOp::Leave => {
                self.leaving = true;
                let actions = self.gate.mark_leaving();
                self.take_in(&actions, None)
            }
            GateOp::Resume => {
                self.leaving = false;
                self.gate.resume();
                Ok(())
            }
            GateOp::SetSlots { slots } => {
                self.slots = u32::from(*slots);
                let actions = self.gate.set_slots(self.now, self.slots);
                self.take_in(&actions, None)
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
        self.next += 1;
        let id = TryId(self.next);
        let deadline = self.now + Duration::from_millis(u64::from(deadline_ms));
        let mut class = ClassPolicy::new(name(&format!("class-{rank}-{limited}")), Rank(rank));
        if limited {
            class = class.with_rate_limit(RATE);
        }
        let caller = CallerKey::new(&format!("caller-{caller}"))
            .map_err(|err| Violation::new(err.to_string()))?;
        let tier = self.tier(rank, limited);
        let known = Known { id, importance: (tier, rank), deadline };
        let arrival = Arrival { id, class: &class, caller: &caller, deadline };
        let actions = self.gate.handle_arrival(self.now, &arrival);
        self.take_in(&actions, Some(known))
    }

    /// A token bucket a class, as the sheet describes it. A leaving gate takes no token.
    fn tier(&mut self, rank: u8, limited: bool) -> Tier {
        if !limited || self.leaving {
            return Tier::Regular;
        }
        let i = usize::from(rank);
        let passed = self.now.since(self.tokens_at[i]).as_secs_f64();
        let filled = self.tokens[i] + passed * f64::from(RATE.per_second);
        self.tokens[i] = filled.min(f64::from(RATE.burst));
        self.tokens_at[i] = self.now;
        if self.tokens[i] < 1.0 {
            return Tier::Excess;
        }
        self.tokens[i] -= 1.0;
        Tier::Regular
    }

    fn take_in(&mut self, actions: &[Action], arrived: Option<Known>) -> Result<(), Violation> {
        let mut open = arrived;
        self.waiting.extend(arrived);
        for action in actions {
            match *action {
                Action::Dispatch(id) => self.dispatched(id)?,
                Action::Refuse(id, reason) => self.refused(id, reason)?,
                Action::Wait(id) => {
                    check!(open.is_some_and(|k| k.id == id), "{id:?} waits without arriving");
                }
            }
            open = open.filter(|known| {
                !matches!(*action, Action::Dispatch(id) | Action::Refuse(id, _) if id == known.id)
            });
        }
        if let Some(known) = arrived {
            let answered = actions.iter().any(|action| {
                matches!(*action, Action::Dispatch(id) | Action::Refuse(id, _) | Action::Wait(id)
                    if id == known.id)
            });
            check!(answered, "no decision on {known:?}");
        }
        Ok(())
    }

    fn remove_waiting(&mut self, id: TryId) -> Result<Known, Violation> {
        let index = self.waiting.iter().position(|known| known.id == id);
        match index {
            Some(index) => Ok(self.waiting.swap_remove(index)),
            None => Err(Violation::new(format!("decision on {id:?}, which does not wait"))),
        }
    }

    fn dispatched(&mut self, id: TryId) -> Result<(), Violation> {
        let known = self.remove_waiting(id)?;
        check!(!self.leaving, "{known:?} dispatched to a leaving upstream");
        check!(known.deadline > self.now, "{known:?} dispatched after its deadline");
        check!(self.running.len() < self.slots as usize, "more in flight than slots");
        let passed_over = self.waiting.iter().find(|other| other.importance < known.importance);
        check!(passed_over.is_none(), "{known:?} dispatched before {passed_over:?}");
        self.running.push(known);
        Ok(())
    }

    fn refused(&mut self, id: TryId, reason: Reason) -> Result<(), Violation> {
        let known = self.remove_waiting(id)?;
        match reason {
            Reason::QueueFull | Reason::Evicted => {
                let less = self.waiting.iter().find(|other| other.importance > known.importance);
                check!(less.is_none(), "{known:?} shed while {less:?} waits");
            }
            Reason::Leaving => check!(self.leaving, "{known:?} refused by a gate that stays"),
            Reason::DeadlinePassed => {
                check!(known.deadline <= self.now, "{known:?} refused before its deadline");
            }
            Reason::PredictedLate => self.check_prediction(known)?,
            other => return Err(Violation::new(format!("{known:?} refused for {other}"))),
        }
        Ok(())
    }

    /// A prediction counts only requests that go before this one: it may not be late because
    /// of less important work that waits.
    fn check_prediction(&self, known: Known) -> Result<(), Violation> {
        let busy = !self.running.is_empty()
            || self.waiting.iter().any(|other| other.importance <= known.importance)
            || self.gate.queued() > 0;
        check!(busy || self.gate.stats().dispatched > 0, "{known:?} late at a gate never used");
        Ok(())
    }

    fn compare(&self) -> Result<(), Violation> {
        check!(
            self.gate.in_flight() == self.running.len(),
            "{} in flight, model has {}",
            self.gate.in_flight(),
            self.running.len()
        );
        check!(
            self.gate.queued() == self.waiting.len(),
            "{} queued, model has {}",
            self.gate.queued(),
            self.waiting.len()
        );
        let limit = self.gate.limit();
        check!(limit >= 1 && limit <= self.slots, "limit {limit} of {} slots", self.slots);
        Ok(())
    }
}

fn name(text: &str) -> ClassName {
    ClassName::new(text).expect("the oracle's own names are valid")
}
