//! Accepts connections of one face and serves requests within the bounds.

use std::convert::Infallible;
use std::net::SocketAddr;
use std::sync::Arc;

use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::{TokioIo, TokioTimer};
use tokio::io::AsyncWriteExt;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{OwnedSemaphorePermit, Semaphore};
use tokio::time::{sleep, timeout};

use super::guarded_io::GuardedIo;
use super::{Traffic, caller_listener, peer_listener, upstream_listener};

/// Time to wait after the system ran out of descriptors.
const ACCEPT_BACKOFF: std::time::Duration = std::time::Duration::from_millis(20);
/// Time in which a refusal must be written.
const REFUSAL_TIMEOUT: std::time::Duration = std::time::Duration::from_secs(1);

/// Which face a connection belongs to.
#[derive(Clone, Copy, Debug)]
pub(super) enum Face {
    Caller,
    Peer,
    /// The local upstream's announcements.
    Upstream,
    /// The platform asks whether this node is ready.
    Ready,
    /// Metrics for scraping.
    Metrics,
}

/// Accepts connections until the process stops.
pub(super) async fn serve_face(traffic: Traffic, face: Face, listener: TcpListener) {
    let permits = Arc::new(Semaphore::new(traffic.shared.settings.bounds.max_connections));
    loop {
        let (stream, from) = match listener.accept().await {
            Ok(accepted) => accepted,
            Err(err) => {
                log::warn!("cannot accept a connection: {err}");
                sleep(ACCEPT_BACKOFF).await;
                continue;
            }
        };
        match Arc::clone(&permits).try_acquire_owned() {
            Ok(permit) => {
                tokio::spawn(serve_connection(traffic.clone(), face, stream, from, permit));
            }
            Err(_) => {
                tokio::spawn(refuse(stream, Refusal::TooManyConnections));
            }
        }
    }
}

async fn serve_connection(
    traffic: Traffic,
    face: Face,
    stream: TcpStream,
    from: SocketAddr,
    permit: OwnedSemaphorePermit,
) {
    // A connection without it works too, only slower.
    let _ = stream.set_nodelay(true);
    let bounds = &traffic.shared.settings.bounds;
    let (idle_timeout, max_head_bytes) = connection_limits(&traffic, face);
    let mut builder = http1::Builder::new();
    builder
        .timer(TokioTimer::new())
        .header_read_timeout(idle_timeout)
        .max_buf_size(max_head_bytes)
        .max_headers(bounds.max_headers);
    let io = GuardedIo::new(stream);
    let calls = io.calls();
    let service = service_fn(move |req| {
        let traffic = traffic.clone();
        let call = calls.start();
        Box::pin(async move {
            let response = match face {
                Face::Caller => caller_listener::serve(traffic, from.ip(), req).await,
                Face::Peer => peer_listener::serve(traffic, req).await,
                Face::Upstream => upstream_listener::serve_notice(traffic, req).await,
                Face::Metrics => upstream_listener::serve_metrics(traffic, req),
                Face::Ready => upstream_listener::serve_readiness(traffic, req).await,
            };
            drop(call);
            Ok::<_, Infallible>(response)
        })
    });
    let mut connection = builder.serve_connection(TokioIo::new(io), service);
    let result = std::future::poll_fn(|cx| connection.poll_without_shutdown(cx)).await;
    let parts = connection.into_parts();
    let io = parts.io.into_inner();
    if let Err(err) = result {
        let refusal = Refusal::of(&err, io.has_partial_request());
        if let Some(refusal) = refusal {
            refuse(io.into_inner(), refusal).await;
        }
    }
    drop(permit);
}

/// Returns the time after which an idle connection is closed, and the most bytes of a head.
///
/// Callers are told the configured limits, which may be wider than the settings and change
/// while a connection is open: they are never cut short of the settings.
fn connection_limits(traffic: &Traffic, face: Face) -> (std::time::Duration, usize) {
    let bounds = &traffic.shared.settings.bounds;
    let config = Arc::clone(&traffic.shared.snapshot.load().config);
    match (&config.global.caller_limits, face) {
        (Some(limits), Face::Caller) => {
            let idle = std::time::Duration::from_millis(limits.idle_timeout_ms);
            (idle.max(bounds.head_timeout), limits.max_head_bytes.max(bounds.max_head_bytes))
        }
        _ => (bounds.head_timeout, bounds.max_head_bytes),
    }
}

/// Why a connection is closed with an answer of its own.
#[derive(Clone, Copy, Debug)]
enum Refusal {
    TooManyConnections,
    HeadTooLarge,
    HeadTimeout,
    Malformed,
}

impl Refusal {
    fn of(err: &hyper::Error, partial_request: bool) -> Option<Refusal> {
        if err.is_parse_too_large() {
            Some(Refusal::HeadTooLarge)
        } else if err.is_parse() {
            Some(Refusal::Malformed)
        } else if err.is_timeout() && partial_request {
            Some(Refusal::HeadTimeout)
        } else {
            None
        }
    }

    fn status(self) -> &'static str {
        match self {
            Refusal::TooManyConnections => "503 Service Unavailable",
            Refusal::HeadTooLarge => "431 Request Header Fields Too Large",
            Refusal::HeadTimeout => "408 Request Timeout",
            Refusal::Malformed => "400 Bad Request",
        }
    }
}

/// Answers a connection that is not served, and closes it.
async fn refuse(mut stream: TcpStream, refusal: Refusal) {
    let text = format!(
        "HTTP/1.1 {}\r\nsnipehollow-outcome: not-run\r\nsnipehollow-reason: bad-request\r\n\
         connection: close\r\ncontent-length: 0\r\n\r\n",
        refusal.status()
    );
    let write = async {
        stream.write_all(text.as_bytes()).await?;
        stream.shutdown().await
    };
    // The client may be gone already.
    let _ = timeout(REFUSAL_TIMEOUT, write).await;
}
