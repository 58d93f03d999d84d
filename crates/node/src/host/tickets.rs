//! Tickets at the local gate, through which a request runs at most once.

use std::sync::Arc;

use snipehollow_core::outcome::Outcome;
use snipehollow_core::reason::Reason;
use snipehollow_core::ticket::{Ticket, TicketDecision};
use snipehollow_core::time::Timestamp;
use tokio::sync::watch;

use super::state::HostState;
use crate::traffic::{Call, NodeResponse};

/// Response of a ticketed run; `None` while it is in progress.
pub(crate) type TicketedRunResult = Option<Arc<NodeResponse>>;

/// Response that is stored for repeated uses of a ticket.
pub(crate) type StoredResponse = Arc<NodeResponse>;

/// How the gate handles a request that carries a ticket.
pub(crate) enum TicketAction {
    /// Run the request under this ticket serial and publish its response through the sender. The
    /// receiver is for the call that presented the ticket.
    Run(u64, watch::Sender<TicketedRunResult>, watch::Receiver<TicketedRunResult>),
    /// Wait for the response of the run in progress.
    Join(watch::Receiver<TicketedRunResult>),
    /// Return the stored response of the run that completed.
    Replay(StoredResponse),
    /// Refuse the request, with its outcome as far as it is known.
    Refuse(Reason, Outcome),
}

impl HostState {
    /// Issues a ticket for a request that arrived without one.
    pub(crate) fn issue_ticket(&mut self, now: Timestamp) -> Ticket {
        self.tickets.issue(now)
    }

    /// Decides how to handle a request that carries a ticket.
    ///
    /// [`TicketAction::Run`] reserves the ticket's serial until [`HostState::end_ticketed_run`] is
    /// called.
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
            TicketDecision::Replay(response) => TicketAction::Replay(response),
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
    ///
    /// A ticket whose request did not run becomes usable again, unless the entry node will send the
    /// request to another host under a new ticket.
    pub(crate) fn end_ticketed_run(
        &mut self,
        now: Timestamp,
        serial: u64,
        response: &Arc<NodeResponse>,
    ) {
        self.ticket_runs.remove(&serial);
        match response.outcome {
            Outcome::NotRun if voids_ticket(response.reason) => self.tickets.void(serial),
            Outcome::NotRun => self.tickets.release(serial),
            Outcome::Unknown => self.tickets.fail(serial),
            Outcome::Ran => {
                self.tickets.complete(now, serial, Arc::clone(response), response.stored_bytes());
            }
        }
    }
}

/// Returns whether a refusal makes the entry node send the request to another host under a new
/// ticket, so that this ticket must never run.
fn voids_ticket(reason: Reason) -> bool {
    matches!(reason, Reason::Leaving | Reason::NoUpstream)
}
