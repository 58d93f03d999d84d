//! Face for callers and the local upstream's own deeper calls.

use std::net::IpAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::header::{HOST, HeaderValue};
use hyper::http::request::Parts;
use hyper::{HeaderMap, Request, Response, StatusCode};
use snipehollow_config::model::Config;
use snipehollow_core::class::{ClassPolicy, Repeat};
use snipehollow_core::ids::{CallerKey, Fingerprint, RequestId, ServiceName, VirtualHostName};
use snipehollow_core::reason::Reason;
use snipehollow_core::retry::{Allowance, RetryState};
use snipehollow_core::ticket::Ticket;
use snipehollow_core::time::Timestamp;
use snipehollow_wire::headers;

use super::request::{bad_request, read_body_within, split_path};
use super::{Answer, Call, Traffic, entry};
use crate::host::ParentCall;
use crate::logging::decisions;

/// Serves one request of a caller.
pub(crate) async fn serve(
    traffic: Traffic,
    from: IpAddr,
    req: Request<Incoming>,
) -> Response<Full<Bytes>> {
    let _entered = traffic.shared.track_caller_request();
    let received = traffic.shared.clock.now();
    let mut id = None;
    let (call, answer) = match accept(&traffic, from, received, req, &mut id).await {
        Ok(accepted) => {
            let call = Arc::new(accepted.call);
            let mut abandoned = AbandonLog { traffic: &traffic, call: Some(Arc::clone(&call)) };
            let answer = run(&traffic, &call, accepted.parent, accepted.allowance).await;
            abandoned.call = None;
            drop(abandoned);
            (Some(call), answer)
        }
        Err(answer) => {
            let revision = traffic.shared.snapshot.load().config.revision;
            decisions::not_accepted(id.as_ref(), &answer, revision);
            (None, *answer)
        }
    };
    respond(&traffic, received, call.as_deref(), &answer)
}

/// Logs a request whose caller left: its task is dropped before there is an answer.
struct AbandonLog<'a> {
    traffic: &'a Traffic,
    call: Option<Arc<Call>>,
}

impl Drop for AbandonLog<'_> {
    fn drop(&mut self) {
        if let Some(call) = &self.call {
            decisions::abandoned(call, self.traffic.shared.clock.now());
        }
    }
}

struct Accepted {
    call: Call,
    parent: Option<ParentCall>,
    allowance: Allowance,
}

/// Reads a request and decides how it is treated; `id` is set as soon as it is known.
async fn accept(
    traffic: &Traffic,
    from: IpAddr,
    received: Timestamp,
    req: Request<Incoming>,
    id: &mut Option<RequestId>,
) -> Result<Accepted, Box<Answer>> {
    let shared = &traffic.shared;
    let config = Arc::clone(&shared.snapshot.load().config);
    let bounds = &shared.settings.bounds;
    let max_body = config.global.caller_limits.as_ref().map(|limits| limits.max_body_bytes);
    let max_body = max_body.unwrap_or(bounds.max_body_bytes);
    let (mut parts, body) = read_body_within(req, max_body, bounds.body_timeout).await?;
    let head = shared.edges.protocol.read_request(&parts).map_err(|cause| {
        log::info!("a request head is not valid: {cause}");
        bad_request(StatusCode::BAD_REQUEST)
    })?;
    id.clone_from(&head.id);
    shared.edges.protocol.strip_request(&mut parts.headers);
    let parent = find_parent(traffic, &parts.headers)?;
    if parent.is_none() && shared.is_refusing_callers() {
        return Err(Box::new(Answer::refusal(Reason::Leaving)));
    }
    let target = find_target(traffic, &config, &parts, parent.as_ref())?;
    let ticket = read_ticket(&parts.headers)?;
    let first = match &parent {
        Some(_) => {
            FirstAllowance { allowance: Allowance(target.class.retry_allowance), is_repeat: false }
        }
        None => {
            first_allowance(traffic, &parts.headers, &target, head.id.as_ref(), ticket.as_ref())?
        }
    };
    let deadline = find_deadline(received, head.time_left, &target.class, parent.as_ref());
    let id = match (&parent, head.id) {
        (Some(parent), _) => parent.request.clone(),
        (None, Some(id)) => id,
        (None, None) => mint_id(traffic)?,
    };
    let caller = match &parent {
        Some(parent) => parent.caller.clone(),
        None => read_caller(&parts.headers, from)?,
    };
    let Target { service, path, class, virtual_host } = target;
    let fingerprint = Fingerprint::of(service.as_str(), parts.method.as_str(), &path, &body);
    let repeat_share = if first.is_repeat { 1.0 } else { shared.host().repeat_share(&class.name) };
    let call = Call {
        id,
        service,
        virtual_host,
        origin: shared.local_service(),
        method: parts.method,
        path,
        headers: forwardable(parts.headers),
        body,
        class,
        caller,
        received,
        deadline,
        fingerprint,
        ticket,
        suspect: false,
        attempt: 0,
        repeat_share,
    };
    Ok(Accepted { call, parent, allowance: first.allowance })
}

/// Where a request goes and how it is treated.
struct Target {
    service: ServiceName,
    /// Path and query at the upstream.
    path: String,
    class: Arc<ClassPolicy>,
    virtual_host: Option<HeaderValue>,
}

/// Finds the route of the request's host name and path, or else the service that the path
/// names.
fn find_target(
    traffic: &Traffic,
    config: &Config,
    parts: &Parts,
    parent: Option<&ParentCall>,
) -> Result<Target, Box<Answer>> {
    if config.revision == 0 {
        return Err(Box::new(Answer::refusal(Reason::NoConfig)));
    }
    let host_header = parts.headers.get(HOST);
    let host = host_header
        .and_then(|value| value.to_str().ok())
        .and_then(|text| VirtualHostName::new(text).ok());
    let route = host.and_then(|host| config.routes().find(&host, parts.uri.path()));
    if let Some(route) = route {
        let service = traffic.shared.host().choose_target(route);
        let service = service.ok_or_else(|| Box::new(Answer::refusal(Reason::NoHost)))?;
        let path = parts.uri.path_and_query().map_or("/", |path| path.as_str()).to_owned();
        let class = Arc::clone(&route.policy);
        return Ok(Target { service, path, class, virtual_host: host_header.cloned() });
    }
    let Some((service, path)) = split_path(&parts.uri) else {
        return Err(match config.routes().is_empty() {
            true => bad_request(StatusCode::BAD_REQUEST),
            false => Box::new(Answer::refusal(Reason::NoClass)),
        });
    };
    let class = find_class(config, &service, parts, &path, parent)?;
    Ok(Target { service, path, class, virtual_host: None })
}

/// Finds the request that a deeper call belongs to.
///
/// Errors: the header names a request that has ended.
fn find_parent(traffic: &Traffic, map: &HeaderMap) -> Result<Option<ParentCall>, Box<Answer>> {
    if !map.contains_key(headers::CONTEXT) {
        return Ok(None);
    }
    let context = headers::text(map, &headers::CONTEXT);
    let parent = context.and_then(|context| traffic.shared.host().find_parent(context));
    match parent {
        Some(parent) => Ok(Some(parent)),
        None => Err(Box::new(Answer::refusal(Reason::ParentEnded))),
    }
}

/// Finds the class; a deeper call has the rank and worth of the request it is made for.
fn find_class(
    config: &Config,
    service: &ServiceName,
    parts: &Parts,
    path: &str,
    parent: Option<&ParentCall>,
) -> Result<Arc<ClassPolicy>, Box<Answer>> {
    let class = config
        .classify(service, parts.method.as_str(), path)
        .ok_or_else(|| Box::new(Answer::refusal(Reason::NoClass)))?;
    Ok(match parent {
        None => Arc::clone(class),
        Some(parent) => {
            let mut class = ClassPolicy::clone(class);
            class.rank = parent.class.rank;
            class.worth = parent.class.worth;
            Arc::new(class)
        }
    })
}

fn find_deadline(
    received: Timestamp,
    time_left: Option<Duration>,
    class: &ClassPolicy,
    parent: Option<&ParentCall>,
) -> Timestamp {
    let mut deadline = received + class.deadline();
    if let Some(left) = time_left {
        deadline = deadline.min(received + left);
    }
    match parent {
        Some(parent) => deadline.min(parent.deadline),
        None => deadline,
    }
}

/// What a caller's request may spend.
struct FirstAllowance {
    allowance: Allowance,
    /// Whether the caller sent the request before.
    is_repeat: bool,
}

/// Returns the allowance of a caller's request: repeats of one id share one allowance.
///
/// A ticketed request runs at most once however often it is repeated, so its repeats cost
/// nothing.
fn first_allowance(
    traffic: &Traffic,
    map: &HeaderMap,
    target: &Target,
    id: Option<&RequestId>,
    ticket: Option<&Ticket>,
) -> Result<FirstAllowance, Box<Answer>> {
    let class = &target.class;
    let whole = FirstAllowance { allowance: Allowance(class.retry_allowance), is_repeat: false };
    if ticket.is_some() || class.repeat == Repeat::Never {
        return Ok(whole);
    }
    let told = headers::parse::<u16>(map, &headers::ATTEMPT).unwrap_or(0);
    let mut host = traffic.shared.host();
    let seen = id.map_or(0, |id| host.record_request_id(id));
    let repeats = told.max(seen);
    if repeats == 0 {
        return Ok(whole);
    }
    let Some(left) = class.retry_allowance.checked_sub(repeats) else {
        return Err(Box::new(Answer::refusal(Reason::AllowanceSpent)));
    };
    Ok(FirstAllowance { allowance: Allowance(left), is_repeat: true })
}

fn read_ticket(map: &HeaderMap) -> Result<Option<Ticket>, Box<Answer>> {
    if !map.contains_key(headers::TICKET) {
        return Ok(None);
    }
    let ticket = headers::text(map, &headers::TICKET).and_then(Ticket::parse);
    match ticket {
        Some(ticket) => Ok(Some(ticket)),
        None => Err(Box::new(Answer::refusal(Reason::TicketInvalid))),
    }
}

fn read_caller(map: &HeaderMap, from: IpAddr) -> Result<CallerKey, Box<Answer>> {
    let key = match headers::text(map, &headers::CALLER) {
        Some(text) => CallerKey::new(text),
        None => CallerKey::new(&from.to_string()),
    };
    key.map_err(|_| bad_request(StatusCode::BAD_REQUEST))
}

fn mint_id(traffic: &Traffic) -> Result<RequestId, Box<Answer>> {
    let random = traffic.shared.host().random();
    let id = format!("{}-{random:016x}", traffic.shared.settings.host);
    let start = id.len().saturating_sub(snipehollow_core::ids::MAX_NAME_BYTES);
    RequestId::new(&id[start..]).map_err(|_| bad_request(StatusCode::BAD_REQUEST))
}

/// Removes what the node itself sets or has used.
fn forwardable(mut map: HeaderMap) -> HeaderMap {
    headers::strip_all(&mut map);
    map.remove(hyper::header::HOST);
    map.remove(hyper::header::CONTENT_LENGTH);
    map.remove(hyper::header::EXPECT);
    map
}

async fn run(
    traffic: &Traffic,
    call: &Arc<Call>,
    parent: Option<ParentCall>,
    allowance: Allowance,
) -> Answer {
    let Some(parent) = parent else {
        return entry::run(traffic, call, &mut RetryState::new(allowance)).await;
    };
    let now = traffic.shared.clock.now();
    let loan = traffic.shared.host().begin_nested_call(now, parent.id);
    let Some(loan) = loan else {
        return Answer::refusal(Reason::ParentEnded);
    };
    let mut child =
        ChildGuard { traffic: traffic.clone(), parent: parent.id, loan, unspent: Allowance(0) };
    let mut retries = RetryState::new(loan);
    tokio::select! {
        answer = entry::run(traffic, call, &mut retries) => {
            child.unspent = retries.unspent();
            answer
        }
        // Nobody waits for the answer any more.
        () = parent.ended.cancelled() => {
            Answer::failure(Reason::ParentEnded, snipehollow_core::outcome::Outcome::Unknown)
        }
    }
}

/// Returns what a deeper call did not spend; nothing if it is dropped midway.
struct ChildGuard {
    traffic: Traffic,
    parent: snipehollow_core::ids::TryId,
    loan: Allowance,
    unspent: Allowance,
}

impl Drop for ChildGuard {
    fn drop(&mut self) {
        let now = self.traffic.shared.clock.now();
        self.traffic.shared.host().end_nested_call(now, self.parent, self.loan, self.unspent);
    }
}

fn respond(
    traffic: &Traffic,
    received: Timestamp,
    call: Option<&Call>,
    answer: &Answer,
) -> Response<Full<Bytes>> {
    let shared = &traffic.shared;
    let revision = shared.snapshot.load().config.revision;
    let jitter = shared.host().random();
    if let Some(call) = call {
        let now = shared.clock.now();
        decisions::answered(call, now, answer, revision);
        let seconds = now.since(received).as_secs_f64();
        shared.metrics.request(&call.class.name, answer.outcome, answer.reason);
        shared.metrics.latency(&call.class.name, seconds);
    }
    let protocol = &*shared.edges.protocol;
    let mut response = answer.to_caller(protocol, call.map(|call| &call.id), revision, jitter);
    if shared.is_draining() {
        response
            .headers_mut()
            .insert(hyper::header::CONNECTION, hyper::header::HeaderValue::from_static("close"));
    }
    response
}
