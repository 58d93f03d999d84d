//! Answer to a call, whole, with what became of the request.

use std::time::Duration;

use bytes::Bytes;
use http_body_util::Full;
use hyper::header::{CONTENT_TYPE, HeaderValue};
use hyper::{HeaderMap, Response, StatusCode};
use snipehollow_core::admission::{LoadLevel, SheddingLevels};
use snipehollow_core::ids::{RequestId, ServiceName};
use snipehollow_core::outcome::Outcome;
use snipehollow_core::reason::Reason;
use snipehollow_core::retry::Allowance;
use snipehollow_wire::headers;

use crate::adapters::{FailureResponse, Protocol};

/// Bytes counted for the parts of a stored answer other than its body.
const STORED_OVERHEAD: usize = 512;
/// Shortest `retry-after` and its spread, in milliseconds: long enough for a level to take
/// effect, short enough for an answer within the target latency of most routes.
const RETRY_AFTER_MS: u64 = 300;
const RETRY_AFTER_SPREAD_MS: u64 = 300;

/// Answer to a call.
#[derive(Clone, Debug)]
pub(crate) struct Answer {
    pub(crate) status: StatusCode,
    /// Headers of the upstream; empty for a refusal.
    pub(crate) headers: HeaderMap,
    pub(crate) body: Bytes,
    pub(crate) outcome: Outcome,
    pub(crate) reason: Reason,
    /// What the try did not spend of its grant.
    pub(crate) unspent: Allowance,
    /// Load of the gate that answered.
    pub(crate) level: Option<LoadLevel>,
    /// Pressure of the gates that the request's class reaches.
    pub(crate) pressure: Option<SheddingLevels>,
    /// Services that the request's class reaches below the gate, if it told.
    pub(crate) reach: Vec<ServiceName>,
    /// Tries of the request, where its entry completed the answer.
    pub(crate) tries: u16,
    /// Ticket issued with a refusal that asks for one.
    pub(crate) ticket: Option<String>,
}

impl Answer {
    /// Creates a failure answer.
    pub(crate) fn failure(reason: Reason, outcome: Outcome) -> Answer {
        Answer {
            status: status_of(reason),
            headers: HeaderMap::new(),
            body: Bytes::new(),
            outcome,
            reason,
            unspent: Allowance(0),
            level: None,
            pressure: None,
            reach: Vec::new(),
            tries: 0,
            ticket: None,
        }
    }

    /// Creates a refusal: the request was not run.
    pub(crate) fn refusal(reason: Reason) -> Answer {
        Answer::failure(reason, Outcome::NotRun)
    }

    pub(crate) fn with_unspent(mut self, unspent: Allowance) -> Answer {
        self.unspent = unspent;
        self
    }

    pub(crate) fn with_level(mut self, level: Option<LoadLevel>) -> Answer {
        self.level = level;
        self
    }

    pub(crate) fn with_ticket(mut self, ticket: String) -> Answer {
        self.ticket = Some(ticket);
        self
    }

    pub(crate) fn with_status(mut self, status: StatusCode) -> Answer {
        self.status = status;
        self
    }

    /// Tells whether the upstream gave a complete answer.
    pub(crate) fn is_upstreams(&self) -> bool {
        matches!(self.reason, Reason::Completed | Reason::TicketReplayed)
    }

    /// Returns the memory that the answer takes when it is stored, in bytes.
    pub(crate) fn stored_bytes(&self) -> usize {
        self.body.len() + STORED_OVERHEAD
    }

    /// Builds the response to a caller; `jitter` spreads the retries of many callers.
    pub(crate) fn to_caller(
        &self,
        protocol: &dyn Protocol,
        id: Option<&RequestId>,
        revision: u64,
        jitter: u64,
    ) -> Response<Full<Bytes>> {
        let mut response = self.response();
        headers::set(response.headers_mut(), headers::REVISION, revision);
        if self.is_upstreams() {
            if let Some(id) = id {
                headers::set(response.headers_mut(), headers::REQUEST_ID, id);
            }
            return response;
        }
        let answer = FailureResponse {
            outcome: self.outcome,
            reason: self.reason,
            status: self.status,
            id: id.cloned(),
            retry_after: self.retry_after(jitter),
        };
        *response.status_mut() = protocol.write_failure(&answer, response.headers_mut());
        response
    }

    /// Returns the time after which another attempt is worth while, if any.
    fn retry_after(&self, jitter: u64) -> Option<Duration> {
        let may_come_back =
            matches!(self.status, StatusCode::SERVICE_UNAVAILABLE | StatusCode::TOO_MANY_REQUESTS);
        let after = RETRY_AFTER_MS + jitter % RETRY_AFTER_SPREAD_MS;
        may_come_back.then_some(Duration::from_millis(after))
    }

    /// Builds the response to another node.
    pub(crate) fn to_peer(&self) -> Response<Full<Bytes>> {
        let mut response = self.response();
        let map = response.headers_mut();
        headers::set(map, headers::ALLOWANCE, self.unspent.0);
        if let Some(level) = &self.level {
            headers::set(map, headers::LOAD, level);
        }
        if let Some(pressure) = &self.pressure {
            headers::set(map, headers::SHEDDING_LEVELS, pressure);
        }
        if !self.reach.is_empty() {
            let names: Vec<&str> = self.reach.iter().map(ServiceName::as_str).collect();
            headers::set(map, headers::DEPENDENCIES, names.join(","));
        }
        response
    }

    fn response(&self) -> Response<Full<Bytes>> {
        let body = if self.is_upstreams() { self.body.clone() } else { self.explanation() };
        let mut response = Response::new(Full::new(body));
        *response.status_mut() = self.status;
        *response.headers_mut() = self.headers.clone();
        let map = response.headers_mut();
        if !self.is_upstreams() {
            map.insert(CONTENT_TYPE, HeaderValue::from_static("application/json"));
        }
        headers::set(map, headers::OUTCOME, self.outcome);
        headers::set(map, headers::REASON, self.reason);
        if let Some(ticket) = &self.ticket {
            headers::set(map, headers::TICKET, ticket);
        }
        response
    }

    fn explanation(&self) -> Bytes {
        let text = format!("{{\"outcome\":\"{}\",\"reason\":\"{}\"}}\n", self.outcome, self.reason);
        Bytes::from(text)
    }
}

/// Returns the status of a failure.
fn status_of(reason: Reason) -> StatusCode {
    match reason {
        Reason::Completed | Reason::SlotFree | Reason::Queued | Reason::TicketReplayed => {
            StatusCode::OK
        }
        Reason::QueueFull
        | Reason::Evicted
        | Reason::PredictedLate
        | Reason::Leaving
        | Reason::NoUpstream
        | Reason::NoHost
        | Reason::RefusedEarly
        | Reason::TreeOverloaded
        | Reason::SuspectBusy
        | Reason::Unreachable
        | Reason::LinkBudgetSpent
        | Reason::NoConfig
        | Reason::ParentEnded
        | Reason::UpstreamRefused => StatusCode::SERVICE_UNAVAILABLE,
        Reason::AllowanceSpent | Reason::BudgetSpent => StatusCode::TOO_MANY_REQUESTS,
        Reason::DeadlinePassed | Reason::Timeout | Reason::CallerLeft => {
            StatusCode::GATEWAY_TIMEOUT
        }
        Reason::Quarantined => StatusCode::UNPROCESSABLE_ENTITY,
        Reason::TicketNeeded | Reason::TicketExpired | Reason::TicketVoid => {
            StatusCode::PRECONDITION_REQUIRED
        }
        Reason::TicketInvalid | Reason::BadRequest => StatusCode::BAD_REQUEST,
        Reason::TicketMismatch
        | Reason::TicketLost
        | Reason::TicketAnswerGone
        | Reason::TicketUnknown => StatusCode::CONFLICT,
        Reason::AnswerCut
        | Reason::ForeignAnswer
        | Reason::UpstreamDied
        | Reason::UpstreamError => StatusCode::BAD_GATEWAY,
        Reason::NoClass => StatusCode::NOT_FOUND,
    }
}
