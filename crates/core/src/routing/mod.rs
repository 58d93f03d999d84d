//! Load balancing: chooses the host that a try is sent to.
//!
//! [`Router`] picks the host with the lowest expected cost. The cost combines the latency of
//! the request's class at the host, the host's load, its failure rate and the price of the
//! distance. Latency, load and failures come from the traffic itself, never from a health
//! endpoint. Hosts in other regions are used only while the [`LinkBudget`] allows it.

mod latency;
mod link;
mod router;
mod stats;
mod statuses;
mod weighted;

pub use latency::LatencyStats;
pub use link::{LinkBudget, LinkCharge};
pub use router::{Candidate, Distance, FinishedTry, Route, RouteQuery, Router, RouterConfig};
pub use stats::{HostStats, TryResult};
pub use statuses::UpstreamStatuses;
pub use weighted::WeightedChoice;
