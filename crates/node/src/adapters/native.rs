//! Implementation of [`Protocol`] for the project's own HTTP headers and paths.

use std::time::Duration;

use bytes::Bytes;
use hyper::header::{HeaderValue, RETRY_AFTER};
use hyper::http::request::Parts;
use hyper::{HeaderMap, Method, StatusCode};
use snipehollow_core::ids::RequestId;
use snipehollow_wire::headers;

use super::protocol::{
    FailureResponse, NoticeError, Protocol, RequestHead, ResponseKind, UpstreamNotice,
    UpstreamRequest, UpstreamSignals,
};

/// The project's own protocol, as documented in the caller's guide.
#[derive(Clone, Copy, Debug)]
pub struct NativeProtocol;

impl Protocol for NativeProtocol {
    fn read_request(&self, parts: &Parts) -> Result<RequestHead, String> {
        let map = &parts.headers;
        let id = if map.contains_key(headers::REQUEST_ID) {
            let text = headers::text(map, &headers::REQUEST_ID).ok_or(
                "request id is repeated or contains characters other than printable ASCII",
            )?;
            Some(RequestId::new(text).map_err(|err| err.to_string())?)
        } else {
            None
        };
        let time_left = headers::parse(map, &headers::DEADLINE).map(Duration::from_millis);
        Ok(RequestHead { id, time_left })
    }

    fn strip_request(&self, map: &mut HeaderMap) {
        headers::strip_untrusted(map);
    }

    fn write_failure(&self, failure: &FailureResponse, map: &mut HeaderMap) -> StatusCode {
        if let Some(id) = &failure.id {
            headers::set(map, headers::REQUEST_ID, id);
        }
        if let Some(after) = failure.retry_after {
            let seconds = after.as_secs_f64().ceil().max(1.0) as u64;
            map.insert(RETRY_AFTER, HeaderValue::from(seconds));
        }
        failure.status
    }

    fn write_request(&self, request: &UpstreamRequest<'_>, map: &mut HeaderMap) {
        headers::set(map, headers::REQUEST_ID, request.id);
        headers::set(map, headers::CONTEXT, request.context);
        headers::set(map, headers::DEADLINE, request.time_left.as_millis());
    }

    fn classify_response(
        &self,
        request: &UpstreamRequest<'_>,
        status: StatusCode,
        map: &HeaderMap,
    ) -> ResponseKind {
        let is_named = map.contains_key(headers::REQUEST_ID);
        if is_named && self.response_id(map) != Some(request.id.as_str()) {
            return ResponseKind::Mismatched;
        }
        match status {
            StatusCode::SERVICE_UNAVAILABLE | StatusCode::TOO_MANY_REQUESTS if is_named => {
                ResponseKind::Refused
            }
            StatusCode::SERVICE_UNAVAILABLE | StatusCode::TOO_MANY_REQUESTS => {
                ResponseKind::UnidentifiedRefusal
            }
            _ => ResponseKind::Complete,
        }
    }

    fn read_signals(&self, map: &HeaderMap) -> UpstreamSignals {
        UpstreamSignals::read(map, &headers::RATE_LIMIT, &headers::LEAVING)
    }

    fn read_notice(
        &self,
        method: &Method,
        path: &str,
        body: &Bytes,
    ) -> Result<UpstreamNotice, NoticeError> {
        if *method != Method::POST || path != "/announce" {
            return Err(NoticeError::UnknownCall);
        }
        serde_json::from_slice(body)
            .map(UpstreamNotice::Announce)
            .map_err(|err| NoticeError::Malformed(err.to_string()))
    }

    fn acknowledgement(&self) -> (&'static str, &'static str) {
        ("announced\n", "text/plain; charset=utf-8")
    }

    fn is_readiness_check(&self, method: &Method, path: &str) -> bool {
        *method == Method::GET && path == "/healthz"
    }
}
