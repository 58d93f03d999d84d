//! Control state of the node and the thread that owns it.
//!
//! [`ControlState`] joins membership, directory and configuration. The control thread ticks
//! it, answers other nodes' control messages, sends its own, and publishes snapshots.

mod rpc_client;
mod rpc_server;
mod state;
mod thread;

pub(crate) use state::ControlState;
pub(crate) use thread::{ControlThread, apply_config_delta};
