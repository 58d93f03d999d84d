//! Reads requests from callers and other nodes within the configured limits.

use bytes::Bytes;
use http_body_util::{BodyExt, LengthLimitError, Limited};
use hyper::body::Incoming;
use hyper::{Request, StatusCode, Uri};
use snipehollow_config::settings::Bounds;
use snipehollow_core::ids::ServiceName;
use snipehollow_core::reason::Reason;
use tokio::time::timeout;

use super::NodeResponse;

/// Reads the body of a request within the limits of the settings.
///
/// # Errors
///
/// Returns a refusal with status 413 if the body is too large, 408 if it does not arrive in time,
/// and 400 if it cannot be read.
pub(crate) async fn read_body(
    req: Request<Incoming>,
    bounds: &Bounds,
) -> Result<(hyper::http::request::Parts, Bytes), Box<NodeResponse>> {
    read_body_within(req, bounds.max_body_bytes, bounds.body_timeout).await
}

/// Reads a request body of at most `max_bytes` bytes within `time_limit`.
///
/// # Errors
///
/// The same as for [`read_body`].
pub(crate) async fn read_body_within(
    req: Request<Incoming>,
    max_bytes: usize,
    time_limit: std::time::Duration,
) -> Result<(hyper::http::request::Parts, Bytes), Box<NodeResponse>> {
    let (parts, body) = req.into_parts();
    let limited = Limited::new(body, max_bytes);
    match timeout(time_limit, limited.collect()).await {
        Ok(Ok(collected)) => Ok((parts, collected.to_bytes())),
        Ok(Err(err)) if err.is::<LengthLimitError>() => {
            Err(bad_request(StatusCode::PAYLOAD_TOO_LARGE))
        }
        Ok(Err(_)) => Err(bad_request(StatusCode::BAD_REQUEST)),
        Err(_) => Err(bad_request(StatusCode::REQUEST_TIMEOUT)),
    }
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
