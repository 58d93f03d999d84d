//! The daemon that runs on each upstream host.
//!
//! One process, five faces: callers, other nodes' calls, other nodes' control messages, the
//! local upstream, operators. The supervisor tree:
//!
//! ```text
//! root (signals, restarts)
//! ├── control    one thread: membership, directory, configuration; publishes snapshots
//! ├── traffic    a few threads: caller face, peer face, calls to the upstream
//! ├── store      one thread: watches the head, refreshes seeds
//! ├── upstream   announcements of the local upstream
//! └── admin      metrics, state, explain, drain
//! ```
//!
//! The decisions themselves are in `snipehollow-core`; this crate feeds them events and
//! carries out their actions.

mod admin;
mod clock;
mod control;
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
mod upstream_face;
mod usage;

pub use error::NodeError;
pub use logging::start_logging;
pub use node::Node;
