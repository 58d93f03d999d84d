//! Randomized fault soak: real nodes, upstreams and store as processes on one machine, with
//! faults from outside them.
//!
//! - [`plan`]: which faults strike when, drawn from a seed.
//! - [`proxy`]: a loopback proxy that delays, silences, refuses and resets.
//! - [`callers`]: callers that keep their connections and record what they were told.
//! - [`run`]: one soak; [`invariants`]: the promises it is held against.
//!
//! The soak judges by what callers were told and what upstreams wrote down, never by what a
//! node says of itself, except for the revision in force.

pub mod callers;
pub mod invariants;
pub mod plan;
pub mod proxy;
pub mod run;
