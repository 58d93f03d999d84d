//! The traffic threads.

use std::sync::Arc;
use std::time::Duration;

use tokio::net::TcpListener;

use super::Traffic;
use super::pool::Pool;
use super::server::{Face, serve_face};
use super::upstream_probe::find_upstream;
use crate::NodeError;
use crate::shared::Shared;
use crate::supervisor::Child;

/// Time between two closings of connections that were idle too long.
const CLOSE_INTERVAL: Duration = Duration::from_secs(5);
/// Time for which connections may finish after the stop.
const CLOSE_TIME: Duration = Duration::from_millis(200);

/// Serves the caller face and the peer face.
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
        runtime.shutdown_timeout(CLOSE_TIME);
        result
    }
}

async fn serve(shared: Arc<Shared>) -> Result<(), NodeError> {
    let settings = &shared.settings;
    let caller = listen("caller", settings.caller).await?;
    let peer = listen("peer", settings.peer).await?;
    let upstream = listen("upstream", settings.upstream_listener).await?;
    let ready = listen_if("ready", settings.ready).await?;
    let metrics = listen_if("metrics", settings.metrics).await?;
    let traffic = Traffic { shared: Arc::clone(&shared), pool: Arc::new(Pool::new()) };
    tokio::spawn(serve_face(traffic.clone(), Face::Caller, caller));
    tokio::spawn(serve_face(traffic.clone(), Face::Peer, peer));
    tokio::spawn(serve_face(traffic.clone(), Face::Upstream, upstream));
    if let Some(ready) = ready {
        tokio::spawn(serve_face(traffic.clone(), Face::Ready, ready));
    }
    if let Some(metrics) = metrics {
        tokio::spawn(serve_face(traffic.clone(), Face::Metrics, metrics));
    }
    tokio::spawn(find_upstream(traffic.clone()));
    let mut interval = tokio::time::interval(CLOSE_INTERVAL);
    while !shared.is_stopping() {
        tokio::select! {
            _ = interval.tick() => traffic.pool.close_old(),
            () = shared.stop_notify.notified() => {}
        }
    }
    Ok(())
}

async fn listen(face: &'static str, addr: std::net::SocketAddr) -> Result<TcpListener, NodeError> {
    TcpListener::bind(addr).await.map_err(|err| NodeError::Listen {
        listener: face,
        addr,
        cause: err.to_string(),
    })
}

async fn listen_if(
    face: &'static str,
    addr: Option<std::net::SocketAddr>,
) -> Result<Option<TcpListener>, NodeError> {
    match addr {
        Some(addr) => listen(face, addr).await.map(Some),
        None => Ok(None),
    }
}
