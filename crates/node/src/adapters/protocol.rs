//! Interface between a node and the protocol of its callers and its upstream.

use std::time::Duration;

use bytes::Bytes;
use displaydoc::Display;
use hyper::header::HeaderName;
use hyper::http::request::Parts;
use hyper::{HeaderMap, Method, StatusCode};
use snipehollow_core::admission::UpstreamRateLimit;
use snipehollow_core::ids::{InstanceId, RequestId, ServiceName};
use snipehollow_core::outcome::Outcome;
use snipehollow_core::reason::Reason;
use snipehollow_wire::admin::Announcement;
use snipehollow_wire::headers;

/// Fields read from the head of a caller's request.
#[derive(Clone, Debug, Default)]
pub struct RequestHead {
    /// Id chosen by the caller; the node generates one if there is none.
    pub id: Option<RequestId>,
    /// How long the caller waits for the response; `None` if the request carries no deadline.
    pub time_left: Option<Duration>,
}

/// A failure that the node reports to the caller itself, instead of an upstream's response.
#[derive(Clone, Debug)]
pub struct FailureResponse {
    /// Whether the request ran.
    pub outcome: Outcome,
    /// Cause of the failure.
    pub reason: Reason,
    /// HTTP status in the project's own protocol; other protocols may send another one.
    pub status: StatusCode,
    /// Id of the request; `None` if the request did not carry a readable one.
    pub id: Option<RequestId>,
    /// Delay after which the caller may retry; `None` if no delay is suggested.
    pub retry_after: Option<Duration>,
}

/// Fields written to the head of a request to an upstream.
#[derive(Clone, Debug)]
pub struct UpstreamRequest<'a> {
    /// Id of the request, the same for all its tries.
    pub id: &'a RequestId,
    /// Time left until the deadline of the request.
    pub time_left: Duration,
    /// Service of the entry node's host; `None` if that host has no known service.
    pub caller_service: Option<&'a ServiceName>,
    /// Instance (one process start) of the upstream that should run the request.
    pub instance: Option<&'a InstanceId>,
    /// Opaque text that the upstream copies to nested calls, which ties them to this request.
    pub context: &'a str,
}

/// Classification of a completely received response of an upstream.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ResponseKind {
    /// The response to this request, whatever its status.
    Complete,
    /// The upstream reports that it did not run the request.
    NotExecuted,
    /// The upstream refused the request, possibly after it had begun to run it.
    Refused,
    /// A refusal that names no request. It may repeat the refusal of an earlier one, so it does not
    /// show whether this request runs.
    UnidentifiedRefusal,
    /// Another instance now has the address; it did not run the request.
    OtherInstance,
    /// A response to another request, or one that lacks the upstream's proof of origin.
    Mismatched,
}

impl ResponseKind {
    /// Returns whether the response may show that the upstream did not run the request, for which
    /// it must name the request.
    pub(crate) fn may_prove_not_run(self) -> bool {
        match self {
            ResponseKind::NotExecuted | ResponseKind::Refused | ResponseKind::OtherInstance => true,
            ResponseKind::Complete
            | ResponseKind::UnidentifiedRefusal
            | ResponseKind::Mismatched => false,
        }
    }
}

/// What the head of an upstream's response says about its rate limit.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub enum RateSignal {
    /// The upstream names no limit.
    #[default]
    Absent,
    /// Requests per second that the upstream accepts from all hosts together; finite and not
    /// negative.
    Named(f64),
    /// The field cannot be read, so the last known limit still applies.
    Unreadable,
}

impl RateSignal {
    fn read(map: &HeaderMap, name: &HeaderName) -> RateSignal {
        if !map.contains_key(name) {
            return RateSignal::Absent;
        }
        match headers::text(map, name).and_then(UpstreamRateLimit::parse) {
            Some(limit) => RateSignal::Named(limit),
            None => RateSignal::Unreadable,
        }
    }
}

/// What an upstream says about itself in the head of a response.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct UpstreamSignals {
    /// Rate limit that the upstream names.
    pub rate: RateSignal,
    /// Whether the upstream says that it is leaving.
    pub leaving: bool,
}

impl UpstreamSignals {
    /// Reads the headers that a protocol uses: `rate_limit` has requests per second as a decimal
    /// number, `leaving` is `1` once the upstream is leaving.
    ///
    /// ```
    /// use hyper::HeaderMap;
    /// use snipehollow_node::adapters::{RateSignal, UpstreamSignals};
    /// use snipehollow_wire::headers::{LEAVING, RATE_LIMIT};
    ///
    /// let mut map = HeaderMap::new();
    /// map.insert(RATE_LIMIT, "2.5".parse().unwrap());
    /// let signals = UpstreamSignals::read(&map, &RATE_LIMIT, &LEAVING);
    /// assert_eq!(signals.rate, RateSignal::Named(2.5));
    /// assert!(!signals.leaving);
    /// ```
    pub fn read(map: &HeaderMap, rate_limit: &HeaderName, leaving: &HeaderName) -> UpstreamSignals {
        UpstreamSignals {
            rate: RateSignal::read(map, rate_limit),
            leaving: headers::text(map, leaving) == Some("1"),
        }
    }
}

/// A notice that an upstream sends to its node.
#[derive(Clone, Debug)]
pub enum UpstreamNotice {
    /// Announces the instance, or renews its announcement.
    Announce(Announcement),
    /// The instance is leaving and accepts no new requests.
    Leave(InstanceId),
}

/// Why a notice was rejected.
#[derive(Clone, Debug, Display)]
pub enum NoticeError {
    /// no such call
    UnknownCall,
    /// the announcement cannot be read: {0}
    Malformed(String),
}

impl std::error::Error for NoticeError {}

/// Encoding and classification of the messages exchanged with callers and with the upstream.
///
/// Implementations are stateless: they translate between HTTP messages and the node's types.
pub trait Protocol: Send + Sync {
    /// Decodes the head of a caller's request.
    ///
    /// Returns a description of the problem if a field cannot be read; the node then rejects the
    /// request.
    fn read_request(&self, parts: &Parts) -> Result<RequestHead, String>;

    /// Removes headers that only nodes may set, so that callers cannot forge them.
    fn strip_request(&self, map: &mut HeaderMap);

    /// Writes the headers of a failure response to a caller and returns its HTTP status.
    fn write_failure(&self, failure: &FailureResponse, map: &mut HeaderMap) -> StatusCode;

    /// Writes the protocol's headers for a request to an upstream.
    fn write_request(&self, request: &UpstreamRequest<'_>, map: &mut HeaderMap);

    /// Returns the id of the request that a response of an upstream names; `None` if it names none
    /// or cannot be read.
    fn response_id<'a>(&self, map: &'a HeaderMap) -> Option<&'a str> {
        headers::text(map, &headers::REQUEST_ID)
    }

    /// Classifies a completely received response of an upstream.
    fn classify_response(
        &self,
        request: &UpstreamRequest<'_>,
        status: StatusCode,
        map: &HeaderMap,
    ) -> ResponseKind;

    /// Reads what an upstream says about itself in the head of a response.
    fn read_signals(&self, map: &HeaderMap) -> UpstreamSignals;

    /// Decodes a notice of an upstream to its node.
    ///
    /// On an error, the node keeps its current information about the upstream.
    fn read_notice(
        &self,
        method: &Method,
        path: &str,
        body: &Bytes,
    ) -> Result<UpstreamNotice, NoticeError>;

    /// Returns the body and content type of the response that acknowledges a notice.
    fn acknowledgement(&self) -> (&'static str, &'static str);

    /// Returns whether a response without a length is complete once the upstream closes its
    /// connection without an error.
    fn allows_close_delimited_responses(&self) -> bool {
        false
    }

    /// Returns whether health checks show that an upstream serves and is not leaving. Upstreams of a
    /// restarted node are then used only after one, because the node may have forgotten a departure.
    fn has_health_checks(&self) -> bool {
        false
    }

    /// Reads an upstream's response to a health check. Returns its instance id if the upstream
    /// serves and identifies itself.
    fn read_health(&self, _status: StatusCode, _map: &HeaderMap) -> Option<InstanceId> {
        None
    }

    /// Returns whether a request is a readiness check of the node.
    fn is_readiness_check(&self, method: &Method, path: &str) -> bool;
}
