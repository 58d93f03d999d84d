//! Data path of the node: calls from callers and other nodes, and to the local upstream.
//!
//! A caller's request arrives at [`caller_listener`], which determines its class and deadline.
//! [`entry`] then chooses a host for each try and decides on retries. A try runs at the [`gate`]
//! of the chosen host, which admits it and sends it to the upstream. If that host is this one, the
//! gate is called directly; otherwise [`peer_client`] sends the try to the [`peer_listener`] of
//! the other node.

mod call;
mod caller_listener;
mod entry;
mod error_suppressing_io;
mod exchange;
mod gate;
mod held_bytes;
mod in_progress;
mod liveness;
mod peer_client;
mod peer_listener;
mod pool;
mod request;
mod response;
mod response_io;
mod server;
mod threads;
mod try_guard;
mod upstream_listener;
mod upstream_probe;

pub(crate) use call::Call;
pub(crate) use in_progress::{InProgress, InProgressGuard};
pub(crate) use peer_listener::secrets_match;
pub(crate) use response::NodeResponse;
pub(crate) use threads::TrafficThreads;

use std::sync::Arc;

use crate::shared::Shared;

/// Context shared by all traffic tasks.
#[derive(Clone)]
pub(crate) struct TrafficContext {
    pub(crate) shared: Arc<Shared>,
    pub(crate) pool: Arc<pool::Pool>,
    pub(crate) held: held_bytes::HeldBytes,
}
