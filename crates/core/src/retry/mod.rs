//! Limits on retries: an allowance per root request and a budget per gate.
//!
//! The entry node creates one [`Allowance`] for a request. It keeps part of it for its own
//! retries and grants the rest to each try. The host that runs the try delegates parts of its
//! grant to the calls that the upstream makes while it runs the request. Each response carries
//! the unspent part back, and the part of a lost response is forfeited, so the retries of a
//! whole call tree never exceed the allowance.
//!
//! The [`RetryBudget`] of a gate bounds the retries that reach its upstream to a share of the
//! requests, whatever the allowances of those requests permit.

mod allowance;
mod budget;
mod runs;
mod table;

pub use allowance::{Allowance, RetryState};
pub use budget::RetryBudget;
pub use runs::ActiveRuns;
pub use table::{AllowanceTable, Grant};
