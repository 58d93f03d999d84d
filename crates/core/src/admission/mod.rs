//! Admission at the gate of one upstream.
//!
//! [`Gate`] holds the exact number of requests in flight at its upstream, an
//! [`AdaptiveLimit`] for it, and a short [`RankedQueue`]. An arrival is dispatched, queued
//! or refused; a finished request frees its slot for the most important one that can still
//! meet its deadline.

mod gate;
mod level;
mod limit;
mod queue;
mod rate;
mod shedding;

pub use gate::{Action, Arrival, Completion, Gate, GateConfig, GateStats};
pub use level::LoadLevel;
pub use limit::{AdaptiveLimit, LimitConfig, LimitSample};
pub use queue::{Priority, RankedQueue, Tier, WaitingRequest};
pub use rate::TokenBucket;
pub use shedding::{DemandMeter, ReportedLevel, SheddingLevels, admitted_share};
