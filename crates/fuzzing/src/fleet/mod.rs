//! Many membership and configuration state machines joined by a fake network.
//!
//! The network is a queue of messages with loss, delay, reordering and partitions; the hosts
//! can be killed, paused, replaced and told to leave. No sockets, threads or real time.

mod host;
mod network;
mod plan;
mod report;
mod run;

pub use plan::{FleetOp, FleetPlan};
pub use report::FleetReport;
pub use run::{Fleet, check_fleet};
