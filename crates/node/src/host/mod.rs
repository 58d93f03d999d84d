//! State of this node that request handling depends on.
//!
//! It covers both roles of a node: the gate in front of the local upstream, and the entry node of
//! requests from local callers. The traffic threads share it behind one lock, so each method makes
//! one decision quickly and never blocks.

mod announcements;
mod caller_retries;
mod contexts;
mod shedding;
mod signals;
mod state;
#[cfg(test)]
mod tests;
mod tickets;
mod tries;
mod upstream;

pub(crate) use contexts::ParentCall;
pub(crate) use state::HostState;
pub(crate) use tickets::{StoredResponse, TicketAction};
pub(crate) use tries::{Admission, GateDecision, StartedTry};
