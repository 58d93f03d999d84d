//! Oracles: plain models beside the code under test.

mod gate;
mod quarantine;
mod retry;
mod store;
mod ticket;

pub use gate::check_gate;
pub use quarantine::check_quarantine;
pub use retry::{chain_of_failures, check_retries};
pub use store::check_store;
pub use ticket::{TicketTally, check_tickets};
