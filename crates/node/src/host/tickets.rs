//! Tickets at the local gate.

use std::sync::Arc;

use snipehollow_core::outcome::Outcome;
use snipehollow_core::reason::Reason;
use snipehollow_core::ticket::{Ticket, TicketDecision};
use snipehollow_core::time::Timestamp;
use tokio::sync::watch;

use super::state::HostState;
use crate::traffic::{Answer, Call};

/// Answer of a ticketed run; `None` while it runs.
pub(crate) type TicketedRunResult = Option<Arc<Answer>>;

/// An answer that is stored for repeats.
pub(crate) type StoredResponse = Arc<Answer>;

/// What a ticketed request has to do.
pub(crate) enum TicketAction {
    /// Run it and publish the answer.
    Run(u64, watch::Sender<TicketedRunResult>, watch::Receiver<TicketedRunResult>),
    /// Wait for the answer of the running try.
    Join(watch::Receiver<TicketedRunResult>),
    /// Return the stored answer.
    Replay(StoredResponse),
    /// Refuse, with what is known of the request.
    Refuse(Reason, Outcome),
}

impl HostState {
    /// Issues a ticket.
    pub(crate) fn issue_ticket(&mut self, now: Timestamp) -> Ticket {
        self.tickets.issue(now)
    }

    /// Decides what a presented ticket allows.
    pub(crate) fn redeem_ticket(
        &mut self,
        now: Timestamp,
        call: &Call,
        ticket: &Ticket,
    ) -> TicketAction {
        match self.tickets.redeem(now, ticket, call.fingerprint) {
            TicketDecision::Run(serial) => {
                let (tx, rx) = watch::channel(None);
                self.ticket_runs.insert(serial, rx.clone());
                TicketAction::Run(serial, tx, rx)
            }
            TicketDecision::Join(serial) => match self.ticket_runs.get(&serial) {
                Some(rx) => TicketAction::Join(rx.clone()),
                None => TicketAction::Refuse(Reason::TicketUnknown, Outcome::Unknown),
            },
            TicketDecision::Replay(answer) => TicketAction::Replay(answer),
            TicketDecision::ResponseEvicted => {
                TicketAction::Refuse(Reason::TicketAnswerGone, Outcome::Ran)
            }
            TicketDecision::Unknown => {
                TicketAction::Refuse(Reason::TicketUnknown, Outcome::Unknown)
            }
            TicketDecision::Mismatch => {
                TicketAction::Refuse(Reason::TicketMismatch, Outcome::NotRun)
            }
            TicketDecision::Expired => TicketAction::Refuse(Reason::TicketExpired, Outcome::NotRun),
            TicketDecision::Void => TicketAction::Refuse(Reason::TicketVoid, Outcome::NotRun),
            TicketDecision::Lost => TicketAction::Refuse(Reason::TicketLost, Outcome::Unknown),
            TicketDecision::Invalid => TicketAction::Refuse(Reason::TicketInvalid, Outcome::NotRun),
        }
    }

    /// Records the end of a ticketed run.
    pub(crate) fn end_ticketed_run(&mut self, now: Timestamp, serial: u64, answer: &Arc<Answer>) {
        self.ticket_runs.remove(&serial);
        match answer.outcome {
            Outcome::NotRun if host_gives_up(answer.reason) => self.tickets.void(serial),
            Outcome::NotRun => self.tickets.release(serial),
            Outcome::Unknown => self.tickets.fail(serial),
            Outcome::Ran => {
                self.tickets.complete(now, serial, Arc::clone(answer), answer.stored_bytes());
            }
        }
    }
}

/// Tells whether a refusal sends the caller to another host.
fn host_gives_up(reason: Reason) -> bool {
    matches!(reason, Reason::Leaving | Reason::NoUpstream)
}
