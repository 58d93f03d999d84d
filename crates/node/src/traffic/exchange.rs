//! Sends a request over a pooled connection and reads the complete response.

use std::net::SocketAddr;
use std::time::Instant;

use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use hyper::header::{CONTENT_LENGTH, TRANSFER_ENCODING};
use hyper::{HeaderMap, Method, Request, Response, StatusCode};
use snipehollow_core::ids::RequestId;
use snipehollow_core::outcome::{Dispatched, Undispatched};
use tokio::time::timeout_at;

use super::held_bytes::{BodyKind, HeldBytes};
use super::pool::{Connection, Pool, Reuse, SendError};
use super::response_io::ReadAllowance;

/// What a piece of a body, such as a chunk, counts in addition to its length.
const PIECE_OVERHEAD_BYTES: usize = 128;

/// Response that was received completely.
pub(crate) struct BufferedResponse {
    pub(crate) status: StatusCode,
    pub(crate) headers: HeaderMap,
    pub(crate) body: Bytes,
    pub(crate) proof: Dispatched,
    /// Whether the response shows its own end, by a length or by its encoding. Otherwise the end of
    /// the connection is all that ends it.
    pub(crate) is_framed: bool,
    /// Connection that may carry another request; `None` if the other end closes it.
    pub(crate) connection: Option<Connection>,
}

/// Why there is no complete response, with the proof of whether the request may have been sent.
pub(crate) enum ExchangeError {
    /// No byte of the request was written.
    NotSent(Undispatched, NotSentCause),
    /// The connection was closed early, or the response was truncated or malformed.
    Incomplete(Dispatched),
    /// The response was not complete by the deadline.
    TimedOut(Dispatched),
    /// The response body is larger than [`ExchangeOptions::max_bytes`], or there is no memory for it.
    TooLarge(Dispatched),
}

/// Why no byte of a request was written.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum NotSentCause {
    /// The connection could not be opened, or not within the time limit of the pool.
    ConnectFailed,
    /// The deadline passed before the connection was open.
    TimedOut,
}

/// How a request is sent, and which response is accepted as complete.
#[derive(Clone, Copy, Debug)]
pub(crate) struct ExchangeOptions<'a> {
    /// Id of the request, the same for all its tries; `None` for a request without one.
    pub(crate) id: Option<&'a RequestId>,
    /// Memory for all bodies that the process holds.
    pub(crate) held: &'a HeldBytes,
    /// Maximum size of the response body, in bytes.
    pub(crate) max_bytes: usize,
    /// Whether a response without length or chunked encoding counts as complete when the
    /// connection is closed in an orderly way.
    pub(crate) allow_unframed: bool,
    /// Which idle connections may carry the request.
    pub(crate) reuse: Reuse,
}

/// Sends a request and reads the response to its end. If an idle connection turns out to be closed
/// before a byte was written, the request is sent over another one.
pub(crate) async fn exchange(
    pool: &Pool,
    addr: SocketAddr,
    req: Request<Full<Bytes>>,
    deadline: Instant,
    options: ExchangeOptions<'_>,
) -> Result<BufferedResponse, ExchangeError> {
    let deadline = tokio::time::Instant::from_std(deadline);
    let method = req.method().clone();
    let mut proof = Undispatched::new();
    let mut req = req;
    loop {
        let mut connection = match pool.take(addr, options.reuse, options.id) {
            Some(connection) => connection,
            None => match timeout_at(deadline, pool.connect(addr)).await {
                Ok(Ok(connection)) => connection,
                Ok(Err(_)) => {
                    return Err(ExchangeError::NotSent(proof, NotSentCause::ConnectFailed));
                }
                Err(_) => return Err(ExchangeError::NotSent(proof, NotSentCause::TimedOut)),
            },
        };
        // From here on the request counts as sent unless the connection proves that no byte of it
        // was written.
        let sent = timeout_at(deadline, connection.send(req, options.id)).await;
        match sent {
            Err(_) => return Err(ExchangeError::TimedOut(proof.dispatch())),
            Ok(Err(SendError::Failed)) => return Err(ExchangeError::Incomplete(proof.dispatch())),
            Ok(Err(SendError::Unsent(unsent))) => {
                req = *unsent;
                proof = Undispatched::new();
            }
            Ok(Ok(response)) => {
                let proof = proof.dispatch();
                let read = read_buffered(&method, response, connection.allowance(), options);
                return match timeout_at(deadline, read).await {
                    Err(_) => Err(ExchangeError::TimedOut(proof)),
                    Ok(Err(ReadError::Incomplete)) => Err(ExchangeError::Incomplete(proof)),
                    Ok(Err(ReadError::TooLarge)) => Err(ExchangeError::TooLarge(proof)),
                    Ok(Ok((status, headers, body))) => {
                        let connection = (!closes_connection(&headers)).then_some(connection);
                        let is_framed = is_framed(&method, status, &headers);
                        Ok(BufferedResponse { status, headers, body, proof, is_framed, connection })
                    }
                };
            }
        }
    }
}

enum ReadError {
    Incomplete,
    TooLarge,
}

async fn read_buffered(
    method: &Method,
    response: Response<Incoming>,
    allowance: ReadAllowance,
    options: ExchangeOptions<'_>,
) -> Result<(StatusCode, HeaderMap, Bytes), ReadError> {
    let (parts, body) = response.into_parts();
    if !options.allow_unframed && !is_framed(method, parts.status, &parts.headers) {
        // A response that ends with the connection cannot be distinguished from a truncated one.
        return Err(ReadError::Incomplete);
    }
    let body = read_body(body, allowance, options).await?;
    Ok((parts.status, parts.headers, body))
}

/// Reads a body into one buffer. Each piece counts as [`PIECE_OVERHEAD_BYTES`] more than its
/// length, so that a body in many small pieces cannot take unbounded time.
async fn read_body(
    mut body: Incoming,
    allowance: ReadAllowance,
    options: ExchangeOptions<'_>,
) -> Result<Bytes, ReadError> {
    let mut held = options.held.body();
    let mut counted = 0;
    while let Some(frame) = body.frame().await {
        allowance.await_piece();
        let Ok(data) = frame.map_err(|_| ReadError::Incomplete)?.into_data() else {
            // Trailers are not forwarded.
            continue;
        };
        counted += data.len();
        if counted > options.max_bytes {
            return Err(ReadError::TooLarge);
        }
        counted += PIECE_OVERHEAD_BYTES;
        held.push(BodyKind::Response, data).map_err(|_| ReadError::TooLarge)?;
    }
    Ok(held.finish())
}

fn is_framed(method: &Method, status: StatusCode, headers: &HeaderMap) -> bool {
    let has_no_body = *method == Method::HEAD
        || status == StatusCode::NO_CONTENT
        || status == StatusCode::NOT_MODIFIED;
    has_no_body || headers.contains_key(CONTENT_LENGTH) || headers.contains_key(TRANSFER_ENCODING)
}

/// Returns whether the sender of a response closes the connection after it.
fn closes_connection(headers: &HeaderMap) -> bool {
    headers
        .get(hyper::header::CONNECTION)
        .is_some_and(|value| value.as_bytes().eq_ignore_ascii_case(b"close"))
}
