//! At-most-once execution of requests that must never be run twice.
//!
//! Such a request needs a [`Ticket`]. A ticket names a host, one process start on that host and
//! a serial number, and is authenticated with a key that only this process knows. No other
//! process ever runs the request, and the process's [`TicketTable`] records that a serial is
//! claimed before the request is dispatched. The guarantee depends on no store, no lease and no
//! clock of another host, so a pause, a network partition or an outage of the store cannot
//! cause a second run.

mod history;
mod table;
mod token;

pub use history::{SerialHistory, SerialState};
pub use table::{TicketConfig, TicketDecision, TicketTable};
pub use token::{ProcessStartId, Ticket, TicketKey};
