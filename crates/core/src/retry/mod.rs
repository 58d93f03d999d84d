//! Retries: one allowance for a whole call chain, and a budget at each gate.
//!
//! The entry mints one [`Allowance`] for a request. It keeps part of it for its own retries
//! and grants the rest to each try; the gate's host lends from that grant to the deeper
//! calls of the request. An answer returns what was not spent, and what is lost with an
//! answer is forfeited, so the sum over the chain never grows.

mod allowance;
mod budget;
mod runs;
mod table;

pub use allowance::{Allowance, RetryState};
pub use budget::RetryBudget;
pub use runs::ActiveRuns;
pub use table::{AllowanceTable, Grant};
