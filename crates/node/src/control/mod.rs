//! Membership, directory and configuration of the node, and the thread that runs them.
//!
//! [`ControlState`] holds the state. The control thread advances its timers, responds to control
//! messages from other nodes, sends its own, and publishes snapshots for the traffic threads.

mod rpc_client;
mod rpc_server;
mod state;
#[cfg(test)]
mod tests;
mod thread;
mod watchers;

pub(crate) use state::ControlState;
pub(crate) use thread::{ControlThread, apply_config_delta};
