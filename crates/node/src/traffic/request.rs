//! Reads requests from callers and other nodes within the configured limits.

use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::body::{Body, Incoming};
use hyper::http::request::Parts;
use hyper::{Request, StatusCode, Uri};
use snipehollow_core::ids::ServiceName;
use snipehollow_core::reason::Reason;
use tokio::time::{Instant, timeout_at};

use super::held_bytes::{BodyKind, HeldBytes};
use super::{NodeResponse, TrafficContext};

/// Limits on receiving the body of a request.
#[derive(Clone, Copy, Debug)]
pub(crate) struct BodyLimits<'a> {
    /// Maximum size, in bytes.
    pub(crate) max_bytes: usize,
    /// Time limit for the whole body.
    pub(crate) time_limit: std::time::Duration,
    /// Memory for all bodies that the process holds.
    pub(crate) held: &'a HeldBytes,
}

/// Why a body was not received.
enum BodyError {
    TooLarge,
    NoMemory,
    TimedOut,
    Broken,
}

/// Reads the body of a request.
///
/// If a limit refuses the request before its body has arrived, the rest of the body is received and
/// discarded in the background, within the same limits of size and time: closing the connection
/// with unread bytes would reset it, and the caller would not receive the refusal.
///
/// # Errors
///
/// Returns a refusal with status 413 if the body is too large, 503 if the process holds too many
/// bodies, 408 if it does not arrive in time, and 400 if it cannot be read.
pub(crate) async fn read_body(
    req: Request<Incoming>,
    limits: BodyLimits<'_>,
) -> Result<(Parts, Bytes), Box<NodeResponse>> {
    let (parts, mut body) = req.into_parts();
    let deadline = Instant::now() + limits.time_limit;
    match receive(&mut body, limits, deadline).await {
        Ok(bytes) => Ok((parts, bytes)),
        Err(err) => {
            if matches!(err, BodyError::TooLarge | BodyError::NoMemory) {
                tokio::spawn(discard(body, limits.max_bytes, deadline));
            }
            Err(refusal(&err))
        }
    }
}

async fn receive(
    body: &mut Incoming,
    limits: BodyLimits<'_>,
    deadline: Instant,
) -> Result<Bytes, BodyError> {
    if body.size_hint().lower() > limits.max_bytes as u64 {
        return Err(BodyError::TooLarge);
    }
    let mut held = limits.held.body();
    let mut received = 0;
    loop {
        let frame = match timeout_at(deadline, body.frame()).await {
            Ok(Some(frame)) => frame.map_err(|_| BodyError::Broken)?,
            Ok(None) => return Ok(held.finish()),
            Err(_) => return Err(BodyError::TimedOut),
        };
        let Ok(data) = frame.into_data() else {
            // Trailers are not forwarded.
            continue;
        };
        received += data.len();
        if received > limits.max_bytes {
            return Err(BodyError::TooLarge);
        }
        held.push(BodyKind::Request, data).map_err(|_| BodyError::NoMemory)?;
    }
}

/// Receives up to `max_bytes` bytes of a body and discards them.
async fn discard(mut body: Incoming, max_bytes: usize, deadline: Instant) {
    let mut left = max_bytes;
    while let Ok(Some(Ok(frame))) = timeout_at(deadline, body.frame()).await {
        let bytes = frame.data_ref().map_or(0, Bytes::len);
        match left.checked_sub(bytes) {
            Some(rest) => left = rest,
            None => return,
        }
    }
}

fn refusal(err: &BodyError) -> Box<NodeResponse> {
    match err {
        BodyError::TooLarge => bad_request(StatusCode::PAYLOAD_TOO_LARGE),
        BodyError::NoMemory => Box::new(NodeResponse::refusal(Reason::MemoryLimit)),
        BodyError::TimedOut => bad_request(StatusCode::REQUEST_TIMEOUT),
        BodyError::Broken => bad_request(StatusCode::BAD_REQUEST),
    }
}

/// Returns the maximum size of a request body, in bytes: the caller limit of the configuration or,
/// without one, that of the settings.
///
/// It applies between nodes too, so that a body which the entry node accepts reaches the gate.
pub(crate) fn max_body_bytes(traffic: &TrafficContext) -> usize {
    let config = &traffic.shared.snapshot.load().config;
    let configured = config.global.caller_limits.as_ref().map(|limits| limits.max_body_bytes);
    configured.unwrap_or(traffic.shared.settings.bounds.max_body_bytes)
}

/// Splits `/SERVICE/rest?query` into the service name and the path that the upstream receives.
pub(crate) fn split_path(uri: &Uri) -> Option<(ServiceName, String)> {
    let path = uri.path().strip_prefix('/')?;
    let (service, rest) = path.split_once('/').unwrap_or((path, ""));
    let service = ServiceName::new(service).ok()?;
    let path = match uri.query() {
        Some(query) => format!("/{rest}?{query}"),
        None => format!("/{rest}"),
    };
    Some((service, path))
}

/// Creates the refusal of a request that is malformed or exceeds a limit.
pub(crate) fn bad_request(status: StatusCode) -> Box<NodeResponse> {
    Box::new(NodeResponse::refusal(Reason::BadRequest).with_status(status))
}
