//! The daemon that runs on each upstream host.
//!
//! One process listens for callers, for calls and control messages of other nodes, for the local
//! upstream and for operators. The supervisor tree:
//!
//! ```text
//! root           signals, restarts of failed children
//! ├── control    one thread: membership, directory, configuration; publishes snapshots
//! ├── traffic    several threads: callers, peers, calls to the upstream and its announcements
//! ├── store      one thread: watches the configuration, refreshes the zone's seeds
//! └── admin      metrics, state, explain, drain, quarantine
//! ```
//!
//! The decision logic is in `snipehollow-core`; this crate passes events to it and carries out
//! the resulting actions.

pub mod adapters;
mod admin;
mod clock;
mod control;
mod daemon;
mod departures;
mod error;
mod host;
mod logging;
mod metrics;
mod node;
mod shared;
mod snapshot;
mod store_watch;
mod supervisor;
mod traffic;
mod usage;

pub use daemon::{load_settings, run_node};
pub use error::NodeError;
pub use logging::start_logging;
pub use node::Node;
