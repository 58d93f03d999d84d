//! Choice of the host for a try.
//!
//! [`Router`] takes the host at which the request is expected to cost least: by the time that
//! its class took there, the load, the share of failures, and the price of the distance, all
//! as observed and never from a health endpoint. Other regions are used within the
//! [`LinkBudget`].

mod latency;
mod link;
mod router;
mod stats;
mod weighted;

pub use latency::LatencyStats;
pub use link::LinkBudget;
pub use router::{Candidate, Distance, FinishedTry, Route, RouteQuery, Router, RouterConfig};
pub use stats::{HostStats, TryResult};
pub use weighted::WeightedChoice;
