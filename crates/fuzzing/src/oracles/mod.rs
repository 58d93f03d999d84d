//! Oracles: reference models that run beside the code under test.
//!
//! Each oracle applies a sequence of operations both to the code under test and to a model that
//! is simple enough to verify by reading it, and checks the observed behaviour against it.

mod gate;
mod messages;
mod quarantine;
mod retry;
mod store;
mod ticket;

pub use gate::check_gate;
pub use messages::check_messages;
pub use quarantine::check_quarantine;
pub use retry::{check_retries, count_retries_in_failing_chain};
pub use store::check_store;
pub use ticket::{TicketStats, check_tickets};
