//! Listener for tries that other nodes send to the local gate.

use std::fmt;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::http::request::Parts;
use hyper::{HeaderMap, Request, Response, StatusCode};
use snipehollow_core::admission::UpstreamStatus;
use snipehollow_core::class::{ClassPolicy, Rank, Repeat};
use snipehollow_core::ids::{CallerKey, ClassName, Fingerprint, RequestId, ServiceName, ZoneName};
use snipehollow_core::retry::Allowance;
use snipehollow_core::ticket::Ticket;
use snipehollow_core::time::Timestamp;
use snipehollow_wire::headers;

use super::request::{BodyLimits, bad_request, max_body_bytes, read_body, split_path};
use super::{Call, NodeResponse, TrafficContext, gate};

/// Serves one try sent by another node.
pub(crate) async fn serve(
    traffic: TrafficContext,
    req: Request<Incoming>,
) -> Response<Full<Bytes>> {
    let in_progress = traffic.shared.peer_tries.start();
    if !is_trusted(&traffic, req.headers()) {
        return bad_request(StatusCode::FORBIDDEN).to_peer_response(None, in_progress);
    }
    let id = headers::text(req.headers(), &headers::REQUEST_ID);
    let id = id.and_then(|text| RequestId::new(text).ok());
    if req.headers().contains_key(headers::TRY_UPDATE) {
        return update_try(&traffic, req.headers(), id.as_ref());
    }
    let status = headers::text(req.headers(), &headers::UPSTREAM_STATUS);
    let status = status.and_then(UpstreamStatus::parse);
    match accept(&traffic, req).await {
        Ok((call, granted)) => {
            let response = gate::run(&traffic, &Arc::new(call), granted, status.as_ref()).await;
            response.to_peer_response(id.as_ref(), in_progress)
        }
        Err(response) => response.to_peer_response(id.as_ref(), in_progress),
    }
}

/// Applies the update of a try whose entry node is stopping: it must not wait for a slot beyond the
/// end of that node, which could not respond to its caller.
fn update_try(
    traffic: &TrafficContext,
    map: &HeaderMap,
    id: Option<&RequestId>,
) -> Response<Full<Bytes>> {
    let mut response = Response::new(Full::new(Bytes::new()));
    let now = traffic.shared.clock.now();
    let attempt = headers::parse(map, &headers::ATTEMPT);
    match (id, attempt, read_entry_end(map, now)) {
        (Some(id), Some(attempt), Some(end)) => {
            let waits = traffic.shared.host().shorten_wait(id, attempt, end);
            log::info!(
                id = id.as_str(), attempt, waits, left_ms = end.since(now).as_millis() as u64;
                "entry node of a try is stopping"
            );
            *response.status_mut() = StatusCode::NO_CONTENT;
        }
        _ => *response.status_mut() = StatusCode::BAD_REQUEST,
    }
    response
}

fn read_entry_end(map: &HeaderMap, received: Timestamp) -> Option<Timestamp> {
    let left = headers::parse(map, &headers::ENTRY_END)?;
    Some(received + Duration::from_millis(left))
}

fn is_trusted(traffic: &TrafficContext, map: &HeaderMap) -> bool {
    let settings = &traffic.shared.settings;
    let presented = headers::text(map, &headers::SECRET).unwrap_or("");
    let zone = headers::text(map, &headers::ZONE).and_then(|text| ZoneName::new(text).ok());
    let blocked = zone.is_none_or(|zone| settings.blocked_zones.contains(&zone));
    !blocked && secrets_match(presented, &settings.secret)
}

/// Compares two secrets without stopping at the first different byte, so that the time taken does
/// not reveal how much of a guess is right.
pub(crate) fn secrets_match(presented: &str, expected: &str) -> bool {
    blake3::hash(presented.as_bytes()) == blake3::hash(expected.as_bytes())
}

async fn accept(
    traffic: &TrafficContext,
    req: Request<Incoming>,
) -> Result<(Call, Allowance), Box<NodeResponse>> {
    let received = traffic.shared.clock.now();
    let bounds = &traffic.shared.settings.bounds;
    let limits = BodyLimits {
        max_bytes: max_body_bytes(traffic),
        time_limit: bounds.body_timeout,
        held: &traffic.held,
    };
    let (parts, body) = read_body(req, limits).await?;
    read_call(traffic, parts, body, received).ok_or_else(|| bad_request(StatusCode::BAD_REQUEST))
}

fn read_call(
    traffic: &TrafficContext,
    mut parts: Parts,
    body: Bytes,
    received: Timestamp,
) -> Option<(Call, Allowance)> {
    let map = &parts.headers;
    let (service, path) = split_path(&parts.uri)?;
    let id = RequestId::new(headers::text(map, &headers::REQUEST_ID)?).ok()?;
    let caller = CallerKey::new(headers::text(map, &headers::CALLER)?).ok()?;
    let class = ClassHeader::parse(headers::text(map, &headers::CLASS)?)?;
    let time_left = Duration::from_millis(headers::parse(map, &headers::DEADLINE)?);
    let granted = Allowance(headers::parse(map, &headers::ALLOWANCE)?);
    let attempt = headers::parse(map, &headers::ATTEMPT)?;
    let repeat_share = headers::parse::<f64>(map, &headers::REPEAT_SHARE).unwrap_or(0.0);
    let suspect = map.contains_key(headers::SUSPECT);
    let ticket = match headers::text(map, &headers::TICKET) {
        Some(text) => Some(Ticket::parse(text)?),
        None => None,
    };
    let virtual_host = map.get(headers::VIRTUAL_HOST).cloned();
    let caller_service = match headers::text(map, &headers::ORIGIN) {
        Some(text) => Some(ServiceName::new(text).ok()?),
        None => None,
    };
    let fingerprint = Fingerprint::of(service.as_str(), parts.method.as_str(), &path, &body);
    let entry_end = read_entry_end(map, received);
    let class = class.policy(traffic);
    headers::strip_all(&mut parts.headers);
    parts.headers.remove(hyper::header::HOST);
    parts.headers.remove(hyper::header::CONTENT_LENGTH);
    let call = Call {
        id,
        service,
        virtual_host,
        caller_service,
        method: parts.method,
        path,
        headers: parts.headers,
        body,
        class: Arc::new(class),
        caller,
        received,
        deadline: received + time_left,
        entry_end,
        fingerprint,
        ticket,
        suspect,
        attempt,
        repeat_share: repeat_share.clamp(0.0, 1.0),
    };
    Some((call, granted))
}

/// Header value with the class of a call between nodes: `NAME;RANK;WORTH;REPEAT`.
///
/// Rank and worth are included because a nested call has those of its parent request, and because
/// the two nodes may briefly be at different revisions of the configuration.
pub(crate) struct ClassHeader {
    name: ClassName,
    rank: Rank,
    worth: u32,
    repeat: Repeat,
}

impl ClassHeader {
    pub(crate) fn of(class: &ClassPolicy) -> ClassHeader {
        ClassHeader {
            name: class.name.clone(),
            rank: class.rank,
            worth: class.worth,
            repeat: class.repeat,
        }
    }

    fn parse(text: &str) -> Option<ClassHeader> {
        let mut fields = text.split(';');
        let name = ClassName::new(fields.next()?).ok()?;
        let rank = Rank(fields.next()?.parse().ok()?);
        let worth = fields.next()?.parse().ok()?;
        let repeat = match fields.next()? {
            "never" => Repeat::Never,
            "idempotent" => Repeat::Idempotent,
            "once-per-attempt" => Repeat::OncePerAttempt,
            _ => return None,
        };
        Some(ClassHeader { name, rank, worth, repeat })
    }

    fn policy(self, traffic: &TrafficContext) -> ClassPolicy {
        let snapshot = traffic.shared.snapshot.load();
        let known = snapshot.config.class(&self.name);
        let base = match known {
            Some(class) => ClassPolicy::clone(class),
            None => ClassPolicy::new(self.name, self.rank),
        };
        let repeat = self.repeat;
        let mut class = base.with_worth(self.worth).with_repeat(repeat);
        class.rank = self.rank;
        class
    }
}

impl fmt::Display for ClassHeader {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let repeat = match self.repeat {
            Repeat::Never => "never",
            Repeat::Idempotent => "idempotent",
            Repeat::OncePerAttempt => "once-per-attempt",
        };
        write!(f, "{};{};{};{repeat}", self.name, self.rank.0, self.worth)
    }
}
