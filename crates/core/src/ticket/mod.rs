//! At-most-once execution of requests that may never repeat.
//!
//! Such a request needs a [`Ticket`]: it names one host, one start of that host's process
//! and a serial number, and carries a keyed hash made with a key that this start alone
//! knows. Only that start ever runs the request, and its [`TicketTable`] records every claim
//! before dispatch. No store, no lease and no clock of another host is involved, so a pause,
//! a partition or an outage of the store cannot cause a second run.

mod history;
mod table;
mod token;

pub use history::{SerialHistory, SerialState};
pub use table::{TicketConfig, TicketDecision, TicketTable};
pub use token::{ProcessStartId, Ticket, TicketKey};
