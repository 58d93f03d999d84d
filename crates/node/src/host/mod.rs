//! State of the host's gate and entry, used by the traffic threads under one lock.
//!
//! Each method takes one decision and is short; nothing waits while the lock is held.

mod caller_retries;
mod contexts;
mod shedding;
mod state;
mod tickets;
mod tries;
mod upstream;

pub(crate) use contexts::ParentCall;
pub(crate) use state::HostState;
pub(crate) use tickets::{StoredResponse, TicketAction};
pub(crate) use tries::{Admission, GateDecision, StartedTry};
pub(crate) use upstream::UNKNOWN_PROCESS_START;
