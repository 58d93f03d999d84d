//! HTTP client of a simulated caller, which checks that each response belongs to its request.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::header::HeaderValue;
use hyper::{HeaderMap, Method, Request, StatusCode};
use hyper_util::client::legacy::Client;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::TokioExecutor;
use snipehollow_core::outcome::Outcome;
use snipehollow_core::reason::Reason;
use snipehollow_wire::headers;
use tokio::time::timeout;

/// Time limit for a whole response.
const RESPONSE_TIMEOUT: Duration = Duration::from_secs(10);

/// Outcome of one call as its caller sees it.
#[derive(Clone, Debug)]
pub struct CallResult {
    /// HTTP status, or `None` if there was no complete response.
    pub status: Option<StatusCode>,
    /// Outcome of the request that the node reports.
    pub outcome: Option<Outcome>,
    /// Reason code that the node reports.
    pub reason: Option<Reason>,
    /// Ticket that the response carries.
    pub ticket: Option<String>,
    /// Whether the response echoes the correlation id of another request.
    pub mismatched: bool,
}

impl CallResult {
    /// Returns whether the call got a complete successful response to its own request.
    pub fn is_ok(&self) -> bool {
        self.status.is_some_and(|status| status.is_success()) && !self.mismatched
    }

    fn no_response() -> CallResult {
        CallResult { status: None, outcome: None, reason: None, ticket: None, mismatched: false }
    }
}

/// Client that keeps its connections open between calls.
#[derive(Clone, Debug)]
pub struct CallerClient {
    client: Client<HttpConnector, Full<Bytes>>,
}

impl CallerClient {
    /// Creates a client without open connections.
    pub fn new() -> CallerClient {
        let mut connector = HttpConnector::new();
        connector.set_nodelay(true);
        CallerClient { client: Client::builder(TokioExecutor::new()).build(connector) }
    }

    /// Sends one request and reads its whole response.
    ///
    /// The correlation id is sent in the header `x-mark`; a stand-in upstream echoes it in
    /// `x-answer-to`. Errors and timeouts give a result without a status.
    pub async fn call(
        &self,
        to: SocketAddr,
        method: &Method,
        path: &str,
        correlation_id: &str,
        map: HeaderMap,
        body: &str,
    ) -> CallResult {
        let Ok(mut req) = Request::builder()
            .method(method)
            .uri(format!("http://{to}{path}"))
            .body(Full::from(body.to_owned()))
        else {
            return CallResult::no_response();
        };
        *req.headers_mut() = map;
        if let Ok(correlation_id) = HeaderValue::from_str(correlation_id) {
            req.headers_mut().insert("x-mark", correlation_id);
        }
        match timeout(RESPONSE_TIMEOUT, self.exchange(req)).await {
            Ok(Some((status, map))) => classify_response(status, &map, correlation_id),
            _ => CallResult::no_response(),
        }
    }

    async fn exchange(&self, req: Request<Full<Bytes>>) -> Option<(StatusCode, HeaderMap)> {
        let response = self.client.request(req).await.ok()?;
        let (parts, body) = response.into_parts();
        body.collect().await.ok()?;
        Some((parts.status, parts.headers))
    }
}

impl Default for CallerClient {
    fn default() -> CallerClient {
        CallerClient::new()
    }
}

fn classify_response(status: StatusCode, map: &HeaderMap, correlation_id: &str) -> CallResult {
    let echoed = map.get("x-answer-to").and_then(|value| value.to_str().ok());
    CallResult {
        status: Some(status),
        outcome: headers::text(map, &headers::OUTCOME).and_then(Outcome::parse),
        reason: headers::text(map, &headers::REASON).and_then(Reason::parse),
        ticket: headers::text(map, &headers::TICKET).map(str::to_owned),
        mismatched: echoed.is_some_and(|echoed| echoed != correlation_id),
    }
}
