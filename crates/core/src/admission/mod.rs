//! Admission control at the gate of one upstream.
//!
//! A [`Gate`] tracks the exact number of requests in flight at its upstream, an
//! [`AdaptiveLimit`] for that number, and a short [`RankedQueue`]. It dispatches, queues or
//! refuses an arriving request. A finished request frees its slot for the most important
//! waiting request that can still meet its deadline.
//!
//! A [`DemandMeter`] compares the demand at the gate with its slots and computes the shedding
//! level. Entry nodes shed root requests by it, because a call refused deep inside a call tree
//! wastes the work already done for the tree.

mod gate;
mod gate_config;
mod level;
mod limit;
mod queue;
mod rate;
mod shedding;
mod upstream_rate_limit;
mod upstream_status;

pub use gate::{Action, Arrival, Completion, Gate, GateStats};
pub use gate_config::GateConfig;
pub use level::LoadLevel;
pub use limit::{AdaptiveLimit, LimitConfig, LimitSample};
pub use queue::{Priority, RankedQueue, Tier, WaitingRequest};
pub use rate::TokenBucket;
pub use shedding::{DemandMeter, ReportedLevel, SheddingLevels, admitted_share};
pub use upstream_rate_limit::{RateLimitChange, UpstreamRateLimit};
pub use upstream_status::{UNKNOWN_PROCESS_START, UpstreamStatus};
