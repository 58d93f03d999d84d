//! Accepts the connections of a listener and serves requests within the configured limits.

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

use super::error_suppressing_io::ErrorSuppressingIo;
use super::{TrafficContext, caller_listener, peer_listener, upstream_listener};

/// Delay after a failed accept, e.g. when the process is out of file descriptors.
const ACCEPT_BACKOFF: std::time::Duration = std::time::Duration::from_millis(20);
/// Time limit for writing a refusal.
const REFUSAL_TIMEOUT: std::time::Duration = std::time::Duration::from_secs(1);

/// Kind of requests that a listener serves.
#[derive(Clone, Copy, Debug)]
pub(super) enum ListenerKind {
    Caller,
    Peer,
    /// Announcements of the local upstream.
    Upstream,
    /// Readiness checks by the platform.
    Ready,
    /// Scraping of metrics.
    Metrics,
}

/// Accepts connections until the process stops.
pub(super) async fn serve_listener(
    traffic: TrafficContext,
    kind: ListenerKind,
    listener: TcpListener,
) {
    let permits = Arc::new(Semaphore::new(traffic.shared.settings.bounds.max_connections));
    loop {
        let (stream, from) = match listener.accept().await {
            Ok(accepted) => accepted,
            Err(err) => {
                log::warn!("failed to accept a connection: {err}");
                sleep(ACCEPT_BACKOFF).await;
                continue;
            }
        };
        match Arc::clone(&permits).try_acquire_owned() {
            Ok(permit) => {
                tokio::spawn(serve_connection(traffic.clone(), kind, stream, from, permit));
            }
            Err(_) => {
                tokio::spawn(refuse(stream, Refusal::TooManyConnections));
            }
        }
    }
}

async fn serve_connection(
    traffic: TrafficContext,
    kind: ListenerKind,
    stream: TcpStream,
    from: SocketAddr,
    permit: OwnedSemaphorePermit,
) {
    // The connection also works without this option, with higher latency.
    let _ = stream.set_nodelay(true);
    let bounds = &traffic.shared.settings.bounds;
    let (idle_timeout, max_head_bytes) = connection_limits(&traffic, kind);
    let mut builder = http1::Builder::new();
    builder
        .timer(TokioTimer::new())
        .header_read_timeout(idle_timeout)
        .max_buf_size(max_head_bytes)
        .max_headers(bounds.max_headers);
    let io = ErrorSuppressingIo::new(stream);
    let request_tracker = io.request_tracker();
    let service = service_fn(move |req| {
        let traffic = traffic.clone();
        let request_guard = request_tracker.start();
        Box::pin(async move {
            let response = match kind {
                ListenerKind::Caller => caller_listener::serve(traffic, from.ip(), req).await,
                ListenerKind::Peer => peer_listener::serve(traffic, req).await,
                ListenerKind::Upstream => upstream_listener::serve_notice(traffic, req).await,
                ListenerKind::Metrics => upstream_listener::serve_metrics(traffic, req),
                ListenerKind::Ready => upstream_listener::serve_readiness(traffic, req).await,
            };
            drop(request_guard);
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

/// Returns the time after which an idle connection is closed, and the maximum size of a request
/// head in bytes.
///
/// Callers know the caller limits of the configuration. These may exceed the limits of the
/// settings and may change while a connection is open, so they only ever extend the limits of the
/// settings.
fn connection_limits(traffic: &TrafficContext, kind: ListenerKind) -> (std::time::Duration, usize) {
    let bounds = &traffic.shared.settings.bounds;
    let config = Arc::clone(&traffic.shared.snapshot.load().config);
    match (&config.global.caller_limits, kind) {
        (Some(limits), ListenerKind::Caller) => {
            let idle = std::time::Duration::from_millis(limits.idle_timeout_ms);
            (idle.max(bounds.head_timeout), limits.max_head_bytes.max(bounds.max_head_bytes))
        }
        _ => (bounds.head_timeout, bounds.max_head_bytes),
    }
}

/// Why a connection is closed with an error response written by the server itself.
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

/// Writes an error response to a connection and closes it.
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
    // The client may have disconnected already.
    let _ = timeout(REFUSAL_TIMEOUT, write).await;
}
