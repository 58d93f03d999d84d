//! Simulation of a fleet: many membership and configuration state machines on a simulated network.
//!
//! The network is a queue of messages with loss, delay, reordering and partitions. Hosts can be
//! killed, restarted, paused or made to leave, and configurations can be committed. There are no
//! sockets, no threads and no real time, so that a run is reproducible from its seed.

mod host;
mod network;
mod plan;
mod report;
mod run;

pub use plan::{FleetOp, FleetPlan};
pub use report::FleetReport;
pub use run::{Fleet, check_fleet};
