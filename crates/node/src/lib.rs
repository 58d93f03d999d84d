//! The daemon that runs on each upstream host.
//!
//! One process, five faces: callers, other nodes' calls, other nodes' control messages, the
//! local upstream, operators. The supervisor tree:
//!
//! ```text
//! root (signals, restarts)
//! ├── control    one thread: membership, directory, configuration; publishes snapshots
//! ├── traffic    a few threads: callers, peers, calls to the upstream and its announcements
//! ├── store      one thread: follows the configuration, refreshes seeds
//! └── admin      metrics, state, explain, drain
//! ```
//!
//! The decisions themselves are in `snipehollow-core`; this crate feeds them events and
//! carries out their actions.

pub mod adapters;
mod admin;
mod clock;
mod control;
mod daemon;
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
