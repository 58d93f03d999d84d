//! Tries at another host's gate.

use std::net::SocketAddr;
use std::time::Duration;

use http_body_util::Full;
use hyper::header::{HOST, HeaderValue};
use hyper::{HeaderMap, Request, Uri};
use snipehollow_core::admission::{LoadLevel, SheddingLevels};
use snipehollow_core::ids::ServiceName;
use snipehollow_core::outcome::Outcome;
use snipehollow_core::reason::Reason;
use snipehollow_core::retry::Allowance;
use snipehollow_core::routing::Route;
use snipehollow_core::time::Timestamp;
use snipehollow_wire::headers;

use super::exchange::{ExchangeError, ExchangeLimits, WholeResponse, exchange};
use super::peer_face::ClassHeader;
use super::pool::Reuse;
use super::{Answer, Call, Traffic};

/// Time past the deadline in which the other node's own answer about it may still arrive.
const ANSWER_SLACK: Duration = Duration::from_millis(20);

/// Runs one try at another host.
pub(crate) async fn run(
    traffic: &Traffic,
    call: &Call,
    granted: Allowance,
    route: &Route,
) -> Answer {
    if traffic.shared.settings.blocked_zones.contains(&route.host.zone) {
        return Answer::refusal(Reason::Unreachable).with_unspent(granted);
    }
    let now = traffic.shared.clock.now();
    let Ok(req) = peer_request(traffic, call, granted, route.host.addr, now) else {
        return Answer::refusal(Reason::BadRequest).with_unspent(granted);
    };
    let deadline = traffic.shared.clock.instant(call.deadline) + ANSWER_SLACK;
    let limits = ExchangeLimits {
        max_bytes: traffic.shared.settings.bounds.max_response_bytes,
        unframed: false,
        reuse: Reuse::of(call.class.repeat),
    };
    match exchange(&traffic.pool, route.host.addr, req, deadline, limits).await {
        Ok(mut whole) => {
            if let Some(connection) = whole.connection.take() {
                traffic.pool.give_back(connection);
            }
            read_answer(whole)
        }
        Err(err) => failure(err, granted),
    }
}

fn peer_request(
    traffic: &Traffic,
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
    if call.repeat_share > 0.0 {
        headers::set(map, headers::REPEAT_SHARE, format!("{:.3}", call.repeat_share));
    }
    if let Some(host) = &call.virtual_host {
        map.insert(headers::VIRTUAL_HOST, host.clone());
    }
    if let Some(origin) = &call.origin {
        headers::set(map, headers::ORIGIN, origin);
    }
    if call.suspect {
        headers::set(map, headers::SUSPECT, 1);
    }
    if let Some(ticket) = &call.ticket {
        headers::set(map, headers::TICKET, ticket);
    }
    Ok(req)
}

fn read_answer(whole: WholeResponse) -> Answer {
    let map = &whole.headers;
    let outcome = headers::text(map, &headers::OUTCOME).and_then(Outcome::parse);
    let reason = headers::text(map, &headers::REASON).and_then(Reason::parse);
    let (Some(outcome), Some(reason)) = (outcome, reason) else {
        // Not an answer of a node: nothing is known of the request.
        return Answer::failure(Reason::AnswerCut, whole.proof.fail());
    };
    let unspent = Allowance(headers::parse(map, &headers::ALLOWANCE).unwrap_or(0));
    let level = headers::text(map, &headers::LOAD).and_then(LoadLevel::parse);
    let pressure = headers::text(map, &headers::SHEDDING_LEVELS).and_then(SheddingLevels::parse);
    let reach = headers::text(map, &headers::DEPENDENCIES).unwrap_or("").split(',');
    let reach = reach.filter_map(|name| ServiceName::new(name).ok()).collect();
    let ticket = headers::text(map, &headers::TICKET).map(str::to_owned);
    Answer {
        status: whole.status,
        headers: upstream_headers(whole.headers),
        body: whole.body,
        outcome,
        reason,
        unspent,
        level,
        pressure,
        reach,
        tries: 0,
        ticket,
    }
}

fn upstream_headers(mut map: HeaderMap) -> HeaderMap {
    headers::strip_all(&mut map);
    map.remove(hyper::header::CONTENT_LENGTH);
    map
}

fn failure(err: ExchangeError, granted: Allowance) -> Answer {
    match err {
        ExchangeError::NotSent(proof, _) => {
            Answer::failure(Reason::Unreachable, proof.refuse()).with_unspent(granted)
        }
        // What the other node held of the grant is lost with its answer.
        ExchangeError::Cut(proof) => Answer::failure(Reason::AnswerCut, proof.fail()),
        ExchangeError::TimedOut(proof) => Answer::failure(Reason::Timeout, proof.fail()),
        ExchangeError::TooLarge(proof) => Answer::failure(Reason::AnswerCut, proof.fail()),
    }
}
