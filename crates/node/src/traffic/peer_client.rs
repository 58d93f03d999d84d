//! Sends tries to the gates of other hosts.

use std::net::SocketAddr;
use std::time::Duration;

use http_body_util::Full;
use hyper::header::{HOST, HeaderValue};
use hyper::{HeaderMap, Request, StatusCode, Uri};
use snipehollow_core::admission::{LoadLevel, SheddingLevels, UpstreamStatus};
use snipehollow_core::ids::ServiceName;
use snipehollow_core::outcome::Outcome;
use snipehollow_core::reason::Reason;
use snipehollow_core::retry::Allowance;
use snipehollow_core::routing::Route;
use snipehollow_core::time::Timestamp;
use snipehollow_wire::headers;

use super::exchange::{BufferedResponse, ExchangeError, ExchangeOptions, exchange};
use super::peer_listener::ClassHeader;
use super::pool::Reuse;
use super::{Call, NodeResponse, TrafficContext};

/// How long after the deadline to wait for the other node's own response that the deadline has
/// passed.
const RESPONSE_SLACK: Duration = Duration::from_millis(20);

/// Runs one try at another host. `known_status` is what this node knows about its upstream.
pub(crate) async fn run(
    traffic: &TrafficContext,
    call: &Call,
    granted: Allowance,
    route: &Route,
    known_status: Option<&UpstreamStatus>,
) -> NodeResponse {
    if traffic.shared.settings.blocked_zones.contains(&route.host.zone) {
        return NodeResponse::refusal(Reason::Unreachable).with_unspent(granted);
    }
    let now = traffic.shared.clock.now();
    let Ok(mut req) = peer_request(traffic, call, granted, route.host.addr, now) else {
        return NodeResponse::refusal(Reason::BadRequest).with_unspent(granted);
    };
    if let Some(status) = known_status {
        headers::set(req.headers_mut(), headers::UPSTREAM_STATUS, status);
    }
    let deadline = traffic.shared.clock.instant(call.deadline) + RESPONSE_SLACK;
    let options = ExchangeOptions {
        id: Some(&call.id),
        held: &traffic.held,
        max_bytes: traffic.shared.settings.bounds.max_response_bytes,
        allow_unframed: false,
        reuse: Reuse::of(call.class.repeat),
    };
    let exchange = exchange(&traffic.pool, route.host.addr, req, deadline, options);
    match announce_entry_end(traffic, call, route.host.addr, exchange).await {
        Ok(mut buffered) => {
            if headers::text(&buffered.headers, &headers::REQUEST_ID) != Some(call.id.as_str()) {
                // The connection is out of sync, so it is not used again.
                return NodeResponse::failure(Reason::ForeignAnswer, buffered.proof.fail());
            }
            if let Some(connection) = buffered.connection.take() {
                traffic.pool.return_connection(connection);
            }
            read_response(buffered)
        }
        Err(err) => failure_response(err, granted),
    }
}

/// Waits for the response to a try. If this node starts to stop meanwhile, the gate is told when
/// this node ends.
async fn announce_entry_end<T>(
    traffic: &TrafficContext,
    call: &Call,
    addr: SocketAddr,
    response: impl Future<Output = T>,
) -> T {
    if call.entry_end.is_some() {
        // The try carried it.
        return response.await;
    }
    tokio::pin!(response);
    tokio::select! {
        response = &mut response => return response,
        () = traffic.shared.calls_end_set() => {}
    }
    match traffic.shared.calls_end().filter(|end| *end < call.deadline) {
        Some(end) => tokio::join!(response, send_entry_end(traffic, call, addr, end)).0,
        None => response.await,
    }
}

/// Tells the gate of a try that was sent before when this node ends.
async fn send_entry_end(traffic: &TrafficContext, call: &Call, addr: SocketAddr, end: Timestamp) {
    let now = traffic.shared.clock.now();
    let mut req = Request::new(Full::new(bytes::Bytes::new()));
    let map = req.headers_mut();
    headers::set(map, HOST, addr);
    headers::set(map, headers::SECRET, &traffic.shared.settings.secret);
    headers::set(map, headers::ZONE, &traffic.shared.settings.zone);
    headers::set(map, headers::REQUEST_ID, &call.id);
    headers::set(map, headers::ATTEMPT, call.attempt);
    headers::set(map, headers::TRY_UPDATE, 1);
    headers::set(map, headers::ENTRY_END, end.since(now).as_millis());
    let options = ExchangeOptions {
        id: None,
        held: &traffic.held,
        max_bytes: 0,
        allow_unframed: false,
        reuse: Reuse::Any,
    };
    let deadline = traffic.shared.clock.instant(end);
    let sent = exchange(&traffic.pool, addr, req, deadline, options).await;
    let accepted = sent.as_ref().is_ok_and(|response| response.status == StatusCode::NO_CONTENT);
    if !accepted {
        log::warn!(
            id = call.id.as_str(), attempt = call.attempt, gate = addr.to_string();
            "gate of a try was not told the end of this node"
        );
    }
    if let Some(connection) = sent.ok().and_then(|response| response.connection) {
        traffic.pool.return_connection(connection);
    }
}

fn peer_request(
    traffic: &TrafficContext,
    call: &Call,
    granted: Allowance,
    addr: SocketAddr,
    now: Timestamp,
) -> Result<Request<Full<bytes::Bytes>>, hyper::http::Error> {
    let settings = &traffic.shared.settings;
    let uri: Uri = format!("/{}{}", call.service, call.path).parse()?;
    let mut req = Request::new(Full::new(call.body.clone()));
    *req.method_mut() = call.method.clone();
    *req.uri_mut() = uri;
    *req.headers_mut() = call.headers.clone();
    let map = req.headers_mut();
    map.insert(HOST, HeaderValue::from_str(&addr.to_string())?);
    headers::set(map, headers::SECRET, &settings.secret);
    headers::set(map, headers::ZONE, &settings.zone);
    headers::set(map, headers::REQUEST_ID, &call.id);
    headers::set(map, headers::CALLER, &call.caller);
    headers::set(map, headers::CLASS, ClassHeader::of(&call.class));
    headers::set(map, headers::DEADLINE, call.deadline.since(now).as_millis());
    headers::set(map, headers::ALLOWANCE, granted.0);
    headers::set(map, headers::ATTEMPT, call.attempt);
    if let Some(end) = call.entry_end {
        headers::set(map, headers::ENTRY_END, end.since(now).as_millis());
    }
    if call.repeat_share > 0.0 {
        headers::set(map, headers::REPEAT_SHARE, format!("{:.3}", call.repeat_share));
    }
    if let Some(host) = &call.virtual_host {
        map.insert(headers::VIRTUAL_HOST, host.clone());
    }
    if let Some(service) = &call.caller_service {
        headers::set(map, headers::ORIGIN, service);
    }
    if call.suspect {
        headers::set(map, headers::SUSPECT, 1);
    }
    if let Some(ticket) = &call.ticket {
        headers::set(map, headers::TICKET, ticket);
    }
    Ok(req)
}

fn read_response(buffered: BufferedResponse) -> NodeResponse {
    let map = &buffered.headers;
    let outcome = headers::text(map, &headers::OUTCOME).and_then(Outcome::parse);
    let reason = headers::text(map, &headers::REASON).and_then(Reason::parse);
    let (Some(outcome), Some(reason)) = (outcome, reason) else {
        // The response does not come from a node, so the outcome of the request is unknown.
        return NodeResponse::failure(Reason::AnswerCut, buffered.proof.fail());
    };
    let unspent = Allowance(headers::parse(map, &headers::ALLOWANCE).unwrap_or(0));
    let load_level = headers::text(map, &headers::LOAD).and_then(LoadLevel::parse);
    let shedding_levels =
        headers::text(map, &headers::SHEDDING_LEVELS).and_then(SheddingLevels::parse);
    let dependencies = headers::text(map, &headers::DEPENDENCIES).unwrap_or("").split(',');
    let dependencies = dependencies.filter_map(|name| ServiceName::new(name).ok()).collect();
    let upstream_status =
        headers::text(map, &headers::UPSTREAM_STATUS).and_then(UpstreamStatus::parse);
    let ticket = headers::text(map, &headers::TICKET).map(str::to_owned);
    NodeResponse {
        status: buffered.status,
        headers: upstream_headers(buffered.headers),
        body: buffered.body,
        outcome,
        reason,
        unspent,
        load_level,
        shedding_levels,
        dependencies,
        upstream_status,
        tries: 0,
        ticket,
    }
}

fn upstream_headers(mut map: HeaderMap) -> HeaderMap {
    headers::strip_all(&mut map);
    map.remove(hyper::header::CONTENT_LENGTH);
    map
}

fn failure_response(err: ExchangeError, granted: Allowance) -> NodeResponse {
    match err {
        ExchangeError::NotSent(proof, _) => {
            NodeResponse::failure(Reason::Unreachable, proof.refuse()).with_unspent(granted)
        }
        // The unspent part of the grant is lost with the response that would have returned it.
        ExchangeError::Incomplete(proof) => NodeResponse::failure(Reason::AnswerCut, proof.fail()),
        ExchangeError::TimedOut(proof) => NodeResponse::failure(Reason::Timeout, proof.fail()),
        ExchangeError::TooLarge(proof) => NodeResponse::failure(Reason::AnswerCut, proof.fail()),
    }
}
