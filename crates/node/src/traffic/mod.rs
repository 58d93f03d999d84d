//! Traffic: calls from callers, from other nodes, and to the local upstream.
//!
//! A call goes caller → [`entry`] (class, deadline, route, retries) → [`gate`] of the chosen
//! host (admission) → its upstream. Entry and gate in one process skip the hop.

mod answer;
mod call;
mod caller_face;
mod entry;
mod exchange;
mod gate;
mod guarded_io;
mod peer_client;
mod peer_face;
mod pool;
mod request;
mod server;
mod threads;
mod upstream_face;
mod upstream_probe;

pub(crate) use answer::Answer;
pub(crate) use call::Call;
pub(crate) use peer_face::same_secret;
pub(crate) use threads::TrafficThreads;

use std::sync::Arc;

use crate::shared::Shared;

/// What every traffic task has at hand.
#[derive(Clone)]
pub(crate) struct Traffic {
    pub(crate) shared: Arc<Shared>,
    pub(crate) pool: Arc<pool::Pool>,
}
