//! Threads that run the data path of the node.

use std::sync::Arc;
use std::time::Duration;

use tokio::net::TcpListener;

use super::TrafficContext;
use super::held_bytes::HeldBytes;
use super::pool::Pool;
use super::server::{ListenerKind, serve_listener};
use super::upstream_probe::discover_upstream;
use crate::NodeError;
use crate::shared::Shared;
use crate::supervisor::Child;

/// Interval at which expired idle connections are closed.
const IDLE_SWEEP_INTERVAL: Duration = Duration::from_secs(5);
/// How long tasks may continue after the node stops.
const SHUTDOWN_TIMEOUT: Duration = Duration::from_millis(200);

/// Serves all listeners of the data path on a runtime of its own.
pub(crate) struct TrafficThreads;

impl Child for TrafficThreads {
    fn name(&self) -> &'static str {
        "traffic"
    }

    fn run(&self, shared: &Arc<Shared>) -> Result<(), NodeError> {
        let runtime = tokio::runtime::Builder::new_multi_thread()
            .worker_threads(shared.settings.traffic_threads)
            .thread_name("traffic-worker")
            .enable_all()
            .build()
            .map_err(|cause| NodeError::Thread { name: "traffic-worker", cause })?;
        let result = runtime.block_on(serve(Arc::clone(shared)));
        runtime.shutdown_timeout(SHUTDOWN_TIMEOUT);
        result
    }
}

async fn serve(shared: Arc<Shared>) -> Result<(), NodeError> {
    let settings = &shared.settings;
    let caller = listen("caller", settings.caller).await?;
    let peer = listen("peer", settings.peer).await?;
    let upstream = listen("upstream", settings.upstream_listener).await?;
    let ready = listen_optional("ready", settings.ready).await?;
    let metrics = listen_optional("metrics", settings.metrics).await?;
    let traffic = TrafficContext {
        shared: Arc::clone(&shared),
        pool: Arc::new(Pool::new()),
        held: HeldBytes::new(settings.bounds.max_held_bytes),
    };
    tokio::spawn(serve_listener(traffic.clone(), ListenerKind::Caller, caller));
    tokio::spawn(serve_listener(traffic.clone(), ListenerKind::Peer, peer));
    tokio::spawn(serve_listener(traffic.clone(), ListenerKind::Upstream, upstream));
    if let Some(ready) = ready {
        tokio::spawn(serve_listener(traffic.clone(), ListenerKind::Ready, ready));
    }
    if let Some(metrics) = metrics {
        tokio::spawn(serve_listener(traffic.clone(), ListenerKind::Metrics, metrics));
    }
    tokio::spawn(discover_upstream(traffic.clone()));
    let mut interval = tokio::time::interval(IDLE_SWEEP_INTERVAL);
    while !shared.is_stopping() {
        tokio::select! {
            _ = interval.tick() => {
                traffic.pool.close_expired();
                shared.metrics.held_bytes.set(traffic.held.get() as i64);
            }
            () = shared.stop_notify.notified() => {}
        }
    }
    Ok(())
}

async fn listen(name: &'static str, addr: std::net::SocketAddr) -> Result<TcpListener, NodeError> {
    TcpListener::bind(addr).await.map_err(|err| NodeError::Listen {
        listener: name,
        addr,
        cause: err.to_string(),
    })
}

async fn listen_optional(
    name: &'static str,
    addr: Option<std::net::SocketAddr>,
) -> Result<Option<TcpListener>, NodeError> {
    match addr {
        Some(addr) => listen(name, addr).await.map(Some),
        None => Ok(None),
    }
}
