//! Randomized fault injection: real nodes, upstreams and a store run as processes on one machine
//! while faults are injected from outside.
//!
//! - [`plan`]: the schedule of faults, drawn from a seed.
//! - [`proxy`]: a loopback proxy that delays, stalls, refuses and resets connections.
//! - [`callers`]: simulated callers that record the outcomes reported to them.
//! - [`rate_limits`]: upstreams that name a rate limit, and the check that nodes keep to it.
//! - [`run`]: one soak from start to report.
//! - [`invariants`]: the guarantees that are checked.
//!
//! The checks use only what callers received and what upstreams recorded, so that a node's own view
//! cannot hide a fault. The one exception is the revision in force, which only nodes know.

pub mod callers;
pub mod invariants;
pub mod plan;
pub mod proxy;
pub mod rate_limits;
mod recovery;
pub mod run;
mod sheets;
