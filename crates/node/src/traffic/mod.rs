//! Traffic: calls from callers, from other nodes, and to the local upstream.
//!
//! A call goes caller → [`entry`] (class, deadline, route, retries) → [`gate`] of the chosen
//! host (admission) → its upstream. Entry and gate in one process skip the hop.

mod call;
mod caller_listener;
mod entry;
mod exchange;
mod gate;
mod guarded_io;
mod peer_client;
mod peer_listener;
mod pool;
mod request;
mod response;
mod server;
mod threads;
mod upstream_listener;
mod upstream_probe;

pub(crate) use call::Call;
pub(crate) use peer_listener::secrets_match;
pub(crate) use response::NodeResponse;
pub(crate) use threads::TrafficThreads;

use std::sync::Arc;

use crate::shared::Shared;

/// What every traffic task has at hand.
#[derive(Clone)]
pub(crate) struct Traffic {
    pub(crate) shared: Arc<Shared>,
    pub(crate) pool: Arc<pool::Pool>,
}
