//! Listeners with little traffic: announcements of the local upstream, readiness checks and
//! metrics.

use std::sync::Arc;

use bytes::Bytes;
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::header::{CONTENT_TYPE, HeaderValue};
use hyper::{Request, Response, StatusCode};
use snipehollow_wire::admin::Announcement;

use super::TrafficContext;
use super::request::{BodyLimits, read_body};
use super::upstream_probe::confirm_held_announcement;
use crate::adapters::{NoticeError, UpstreamNotice};
use crate::departures;
use crate::shared::Shared;

/// Maximum size of an announcement; a usual one has a few hundred bytes.
const MAX_NOTICE_BYTES: usize = 4_096;

/// Serves one notice of the local upstream: an announcement, or that it is leaving.
pub(crate) async fn serve_notice(
    traffic: TrafficContext,
    req: Request<Incoming>,
) -> Response<Full<Bytes>> {
    let shared = &traffic.shared;
    let timeout = shared.settings.bounds.body_timeout;
    let limits =
        BodyLimits { max_bytes: MAX_NOTICE_BYTES, time_limit: timeout, held: &traffic.held };
    let (parts, body) = match read_body(req, limits).await {
        Ok(read) => read,
        Err(_) => {
            return plain(StatusCode::BAD_REQUEST, "announcement is too long or incomplete\n");
        }
    };
    match shared.adapters.protocol.read_notice(&parts.method, parts.uri.path(), &body) {
        Ok(UpstreamNotice::Announce(announcement)) if !is_local(shared, &announcement) => {
            log::warn!(
                service = announcement.upstream.service.as_str(),
                addr = announcement.addr.to_string();
                "announcement of another upstream ignored"
            );
            plain(StatusCode::BAD_REQUEST, "not the upstream of this host\n")
        }
        Ok(notice) => {
            apply_notice(shared, notice);
            departures::save(shared).await;
            confirm_held_announcement(&traffic).await;
            let (body, content_type) = shared.adapters.protocol.acknowledgement();
            let mut response = plain(StatusCode::OK, body);
            response.headers_mut().insert(CONTENT_TYPE, HeaderValue::from_static(content_type));
            response
        }
        Err(err @ NoticeError::UnknownCall) => plain(StatusCode::NOT_FOUND, &format!("{err}\n")),
        Err(err) => {
            log::warn!(path = parts.uri.path(); "invalid announcement ignored: {err}");
            plain(StatusCode::BAD_REQUEST, &format!("{err}\n"))
        }
    }
}

/// Returns whether an announcement may come from the upstream of this host: its service and address
/// are those of the settings, as far as they name any.
fn is_local(shared: &Shared, announcement: &Announcement) -> bool {
    let service = shared.configured_service();
    service.as_ref().is_none_or(|service| *service == announcement.upstream.service)
        && shared.settings.upstream_addr.is_none_or(|addr| addr == announcement.addr)
}

fn apply_notice(shared: &Arc<Shared>, notice: UpstreamNotice) {
    let now = shared.clock.now();
    let info = match notice {
        UpstreamNotice::Announce(announcement) => {
            shared.host().handle_announcement(now, &announcement)
        }
        UpstreamNotice::Leave(instance) => shared.host().handle_upstream_departure(now, &instance),
    };
    shared.control().set_upstream(now, info);
}

/// Serves a readiness check: whether this node accepts requests of callers.
pub(crate) async fn serve_readiness(
    traffic: TrafficContext,
    req: Request<Incoming>,
) -> Response<Full<Bytes>> {
    let shared = &traffic.shared;
    if !shared.adapters.protocol.is_readiness_check(req.method(), req.uri().path()) {
        return plain(StatusCode::NOT_FOUND, "no such call\n");
    }
    match shared.is_ready() {
        true => plain(StatusCode::OK, "ready\n"),
        false => plain(StatusCode::SERVICE_UNAVAILABLE, "not ready\n"),
    }
}

/// Serves the metrics in the Prometheus text format.
pub(crate) fn serve_metrics(
    traffic: TrafficContext,
    req: Request<Incoming>,
) -> Response<Full<Bytes>> {
    match req.uri().path() {
        "/metrics" => plain(StatusCode::OK, &traffic.shared.metrics.encode()),
        _ => plain(StatusCode::NOT_FOUND, "GET /metrics\n"),
    }
}

fn plain(status: StatusCode, text: &str) -> Response<Full<Bytes>> {
    let mut response = Response::new(Full::new(Bytes::copy_from_slice(text.as_bytes())));
    *response.status_mut() = status;
    response
}
