//! One request and its whole answer over one connection.

use std::net::SocketAddr;
use std::time::Instant;

use bytes::Bytes;
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::Incoming;
use hyper::header::{CONTENT_LENGTH, TRANSFER_ENCODING};
use hyper::{HeaderMap, Method, Request, Response, StatusCode};
use snipehollow_core::outcome::{Dispatched, Undispatched};
use tokio::time::timeout_at;

use super::pool::{Connection, Pool, Reuse, SendError};

/// An answer that arrived whole.
pub(crate) struct WholeResponse {
    pub(crate) status: StatusCode,
    pub(crate) headers: HeaderMap,
    pub(crate) body: Bytes,
    pub(crate) proof: Dispatched,
    /// The connection, if it may carry another request.
    pub(crate) connection: Option<Connection>,
}

/// Why there is no whole answer, with the proof of what may have happened.
pub(crate) enum ExchangeError {
    /// No byte of the request was written.
    NotSent(Undispatched, NotSentCause),
    /// The connection ended, or the answer was cut or malformed.
    Cut(Dispatched),
    /// The answer did not come in time.
    TimedOut(Dispatched),
    /// The answer is larger than the bound.
    TooLarge(Dispatched),
}

/// Why no byte of a request was written.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum NotSentCause {
    /// The address does not accept connections.
    Refused,
    /// No connection came about in time.
    TimedOut,
}

/// How a request is sent, and what is taken as its whole answer.
#[derive(Clone, Copy, Debug)]
pub(crate) struct ExchangeLimits {
    /// Most bytes of its body.
    pub(crate) max_bytes: usize,
    /// Whether an answer without a length is whole once its connection is closed in order.
    pub(crate) unframed: bool,
    /// Connections that may carry the request.
    pub(crate) reuse: Reuse,
}

/// Sends a request and reads its answer to the end.
pub(crate) async fn exchange(
    pool: &Pool,
    addr: SocketAddr,
    req: Request<Full<Bytes>>,
    deadline: Instant,
    limits: ExchangeLimits,
) -> Result<WholeResponse, ExchangeError> {
    let deadline = tokio::time::Instant::from_std(deadline);
    let method = req.method().clone();
    let mut proof = Undispatched::new();
    let mut req = req;
    loop {
        let mut connection = match pool.take(addr, limits.reuse) {
            Some(connection) => connection,
            None => match timeout_at(deadline, pool.connect(addr)).await {
                Ok(Ok(connection)) => connection,
                Ok(Err(_)) => return Err(ExchangeError::NotSent(proof, NotSentCause::Refused)),
                Err(_) => return Err(ExchangeError::NotSent(proof, NotSentCause::TimedOut)),
            },
        };
        // From here on the request counts as handed over unless the connection proves that
        // no byte was written.
        let sent = timeout_at(deadline, connection.send(req)).await;
        match sent {
            Err(_) => return Err(ExchangeError::TimedOut(proof.dispatch())),
            Ok(Err(SendError::Failed)) => return Err(ExchangeError::Cut(proof.dispatch())),
            Ok(Err(SendError::Unsent(unsent))) => {
                req = *unsent;
                proof = Undispatched::new();
            }
            Ok(Ok(response)) => {
                let proof = proof.dispatch();
                let read = read_whole(&method, response, limits);
                return match timeout_at(deadline, read).await {
                    Err(_) => Err(ExchangeError::TimedOut(proof)),
                    Ok(Err(ReadError::Cut)) => Err(ExchangeError::Cut(proof)),
                    Ok(Err(ReadError::TooLarge)) => Err(ExchangeError::TooLarge(proof)),
                    Ok(Ok((status, headers, body))) => {
                        let connection = (!closes(&headers)).then_some(connection);
                        Ok(WholeResponse { status, headers, body, proof, connection })
                    }
                };
            }
        }
    }
}

enum ReadError {
    Cut,
    TooLarge,
}

async fn read_whole(
    method: &Method,
    response: Response<Incoming>,
    limits: ExchangeLimits,
) -> Result<(StatusCode, HeaderMap, Bytes), ReadError> {
    let (parts, body) = response.into_parts();
    if !limits.unframed && !says_its_length(method, parts.status, &parts.headers) {
        // An answer that ends with the connection cannot be told from one that was cut.
        return Err(ReadError::Cut);
    }
    match Limited::new(body, limits.max_bytes).collect().await {
        Ok(collected) => Ok((parts.status, parts.headers, collected.to_bytes())),
        Err(err) if err.is::<http_body_util::LengthLimitError>() => Err(ReadError::TooLarge),
        Err(_) => Err(ReadError::Cut),
    }
}

fn says_its_length(method: &Method, status: StatusCode, headers: &HeaderMap) -> bool {
    let has_no_body = *method == Method::HEAD
        || status == StatusCode::NO_CONTENT
        || status == StatusCode::NOT_MODIFIED;
    has_no_body || headers.contains_key(CONTENT_LENGTH) || headers.contains_key(TRANSFER_ENCODING)
}

/// Tells whether the sender of an answer closes the connection after it.
fn closes(headers: &HeaderMap) -> bool {
    headers
        .get(hyper::header::CONNECTION)
        .is_some_and(|value| value.as_bytes().eq_ignore_ascii_case(b"close"))
}
