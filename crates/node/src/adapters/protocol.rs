//! What callers and the upstream of a node speak.

use std::time::Duration;

use bytes::Bytes;
use displaydoc::Display;
use hyper::http::request::Parts;
use hyper::{HeaderMap, Method, StatusCode};
use snipehollow_core::ids::{InstanceId, RequestId, ServiceName};
use snipehollow_core::outcome::Outcome;
use snipehollow_core::reason::Reason;
use snipehollow_wire::admin::Announcement;

/// What the head of a caller's request says.
#[derive(Clone, Debug, Default)]
pub struct RequestHead {
    /// Id that the caller chose.
    pub id: Option<RequestId>,
    /// Time for which the caller waits.
    pub time_left: Option<Duration>,
}

/// A failure that this layer answers itself.
#[derive(Clone, Debug)]
pub struct FailureResponse {
    /// What became of the request.
    pub outcome: Outcome,
    /// Why.
    pub reason: Reason,
    /// Status that the project's own protocol gives it.
    pub status: StatusCode,
    /// Id of the request, if it could be read.
    pub id: Option<RequestId>,
    /// Time after which another attempt is worth while.
    pub retry_after: Option<Duration>,
}

/// What the head of a request to an upstream says.
#[derive(Clone, Debug)]
pub struct UpstreamRequest<'a> {
    /// Id of the request.
    pub id: &'a RequestId,
    /// Time left for the answer.
    pub time_left: Duration,
    /// Service on the host where the request began.
    pub caller_service: Option<&'a ServiceName>,
    /// Start of the upstream that is meant.
    pub instance: Option<&'a InstanceId>,
    /// Text that ties deeper calls to this request.
    pub context: &'a str,
}

/// What an upstream's complete answer means.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ResponseKind {
    /// The upstream's answer to this request.
    Complete,
    /// The upstream says that it did not run the request.
    NotExecuted,
    /// The upstream refused, which may have been after it began.
    Refused,
    /// Another upstream has the address; it did not run the request.
    OtherInstance,
    /// An answer to another request, or none that the upstream can have meant.
    Mismatched,
}

/// What an upstream tells its node.
#[derive(Clone, Debug)]
pub enum UpstreamNotice {
    /// It announces itself, or renews that.
    Announce(Announcement),
    /// It takes no new work.
    Leave(InstanceId),
}

/// Why a notice was not taken.
#[derive(Clone, Debug, Display)]
pub enum NoticeError {
    /// no such call
    UnknownCall,
    /// the announcement cannot be read: {0}
    Malformed(String),
}

impl std::error::Error for NoticeError {}

/// What callers and the upstream of a node speak.
pub trait Protocol: Send + Sync {
    /// Reads the head of a caller's request.
    ///
    /// Errors: what is wrong with it.
    fn read_request(&self, parts: &Parts) -> Result<RequestHead, String>;

    /// Removes headers that only this layer may set.
    fn strip_request(&self, map: &mut HeaderMap);

    /// Writes the head of a failure for a caller and returns its status.
    fn write_failure(&self, answer: &FailureResponse, map: &mut HeaderMap) -> StatusCode;

    /// Writes the head of a request to an upstream.
    fn write_request(&self, request: &UpstreamRequest<'_>, map: &mut HeaderMap);

    /// Tells what an upstream's complete answer means.
    fn classify_response(
        &self,
        request: &UpstreamRequest<'_>,
        status: StatusCode,
        map: &HeaderMap,
    ) -> ResponseKind;

    /// Reads what an upstream tells its node.
    ///
    /// Errors: it cannot be read; the upstream that is known stays.
    fn read_notice(
        &self,
        method: &Method,
        path: &str,
        body: &Bytes,
    ) -> Result<UpstreamNotice, NoticeError>;

    /// Returns the body and content type that acknowledge a notice.
    fn acknowledgement(&self) -> (&'static str, &'static str);

    /// Tells whether an upstream's answer without a length is whole once its connection is
    /// closed in order.
    fn allows_close_delimited_responses(&self) -> bool {
        false
    }

    /// Reads an upstream's answer to a health check: the name of its start, if it serves and
    /// says who it is.
    fn read_health(&self, _status: StatusCode, _map: &HeaderMap) -> Option<InstanceId> {
        None
    }

    /// Tells whether a path asks if the node is ready.
    fn is_readiness_check(&self, method: &Method, path: &str) -> bool;
}
