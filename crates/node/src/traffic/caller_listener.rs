//! Listener for requests of callers and for nested calls of the local upstream.

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
use snipehollow_core::outcome::Outcome;
use snipehollow_core::reason::Reason;
use snipehollow_core::retry::{Allowance, RetryState};
use snipehollow_core::ticket::Ticket;
use snipehollow_core::time::Timestamp;
use snipehollow_wire::headers;

use super::request::{BodyLimits, bad_request, max_body_bytes, read_body, split_path};
use super::{Call, InProgressGuard, NodeResponse, TrafficContext, entry};
use crate::host::ParentCall;
use crate::logging::decisions;

/// Serves one request of a caller or one nested call.
pub(crate) async fn serve(
    traffic: TrafficContext,
    from: IpAddr,
    req: Request<Incoming>,
) -> Response<Full<Bytes>> {
    let in_progress = traffic.shared.caller_requests.start();
    let received = traffic.shared.clock.now();
    let mut id = None;
    let (call, response) = match accept(&traffic, from, received, req, &mut id).await {
        Ok(accepted) => {
            let call = Arc::new(accepted.call);
            let mut disconnect_log =
                DisconnectLog { traffic: &traffic, call: Some(Arc::clone(&call)) };
            let response = tokio::select! {
                response = run(&traffic, &call, accepted.parent, accepted.allowance) => response,
                // Its upstream may still be running it.
                () = traffic.shared.calls_ended() => {
                    NodeResponse::failure(Reason::Timeout, Outcome::Unknown)
                }
            };
            disconnect_log.call = None;
            drop(disconnect_log);
            (Some(call), response)
        }
        Err(response) => {
            let revision = traffic.shared.snapshot.load().config.revision;
            decisions::log_rejected_request(id.as_ref(), &response, revision);
            (None, *response)
        }
    };
    build_response(&traffic, received, call.as_deref(), &response, in_progress)
}

/// Logs a request whose caller disconnected: its task is dropped before there is a response.
struct DisconnectLog<'a> {
    traffic: &'a TrafficContext,
    call: Option<Arc<Call>>,
}

impl Drop for DisconnectLog<'_> {
    fn drop(&mut self) {
        if let Some(call) = &self.call {
            decisions::log_caller_disconnect(call, self.traffic.shared.clock.now());
        }
    }
}

struct AcceptedCall {
    call: Call,
    parent: Option<ParentCall>,
    allowance: Allowance,
}

/// Reads a request and determines its target, class, deadline and allowance. `id` is set as soon
/// as it is known, so that a refusal can be logged with it.
async fn accept(
    traffic: &TrafficContext,
    from: IpAddr,
    received: Timestamp,
    req: Request<Incoming>,
    id: &mut Option<RequestId>,
) -> Result<AcceptedCall, Box<NodeResponse>> {
    let shared = &traffic.shared;
    let config = Arc::clone(&shared.snapshot.load().config);
    let bounds = &shared.settings.bounds;
    let limits = BodyLimits {
        max_bytes: max_body_bytes(traffic),
        time_limit: bounds.body_timeout,
        held: &traffic.held,
    };
    let (mut parts, body) = read_body(req, limits).await?;
    let head = shared.adapters.protocol.read_request(&parts).map_err(|cause| {
        log::info!("invalid request head: {cause}");
        bad_request(StatusCode::BAD_REQUEST)
    })?;
    id.clone_from(&head.id);
    shared.adapters.protocol.strip_request(&mut parts.headers);
    let parent = find_parent(traffic, &parts.headers)?;
    if parent.is_none() && shared.is_refusing_callers() {
        return Err(Box::new(NodeResponse::refusal(Reason::Leaving)));
    }
    let target = find_target(traffic, &config, &parts, parent.as_ref())?;
    let ticket = read_ticket(&parts.headers)?;
    let initial = match &parent {
        Some(_) => InitialAllowance {
            allowance: Allowance(target.class.retry_allowance),
            is_caller_retry: false,
        },
        None => {
            initial_allowance(traffic, &parts.headers, &target, head.id.as_ref(), ticket.as_ref())?
        }
    };
    let deadline = find_deadline(received, head.time_left, &target.class, parent.as_ref());
    let id = match (&parent, head.id) {
        (Some(parent), _) => parent.request.clone(),
        (None, Some(id)) => id,
        (None, None) => generate_id(traffic)?,
    };
    let caller = match &parent {
        Some(parent) => parent.caller.clone(),
        None => read_caller(&parts.headers, from)?,
    };
    let Target { service, path, class, virtual_host } = target;
    let fingerprint = Fingerprint::of(service.as_str(), parts.method.as_str(), &path, &body);
    let repeat_share =
        if initial.is_caller_retry { 1.0 } else { shared.host().repeat_share(&class.name) };
    let call = Call {
        id,
        service,
        virtual_host,
        caller_service: shared.local_service(),
        method: parts.method,
        path,
        headers: forwarded_headers(parts.headers),
        body,
        class,
        caller,
        received,
        deadline,
        entry_end: None,
        fingerprint,
        ticket,
        suspect: false,
        attempt: 0,
        repeat_share,
    };
    Ok(AcceptedCall { call, parent, allowance: initial.allowance })
}

/// Service that a request is routed to, and its class.
struct Target {
    service: ServiceName,
    /// Path and query that the upstream receives.
    path: String,
    class: Arc<ClassPolicy>,
    virtual_host: Option<HeaderValue>,
}

/// Finds the target by the route that matches the `Host` header and the path, or, without such a
/// route, by the service name at the start of the path.
fn find_target(
    traffic: &TrafficContext,
    config: &Config,
    parts: &Parts,
    parent: Option<&ParentCall>,
) -> Result<Target, Box<NodeResponse>> {
    if config.revision == 0 {
        return Err(Box::new(NodeResponse::refusal(Reason::NoConfig)));
    }
    let host_header = parts.headers.get(HOST);
    let host = host_header
        .and_then(|value| value.to_str().ok())
        .and_then(|text| VirtualHostName::new(text).ok());
    let route = host.and_then(|host| config.routes().find(&host, parts.uri.path()));
    if let Some(route) = route {
        let service = traffic.shared.host().choose_target(route);
        let service = service.ok_or_else(|| Box::new(NodeResponse::refusal(Reason::NoHost)))?;
        let path = parts.uri.path_and_query().map_or("/", |path| path.as_str()).to_owned();
        let class = Arc::clone(&route.policy);
        return Ok(Target { service, path, class, virtual_host: host_header.cloned() });
    }
    let Some((service, path)) = split_path(&parts.uri) else {
        return Err(match config.routes().is_empty() {
            true => bad_request(StatusCode::BAD_REQUEST),
            false => Box::new(NodeResponse::refusal(no_class_reason(config))),
        });
    };
    let class = find_class(config, &service, parts, &path, parent)?;
    Ok(Target { service, path, class, virtual_host: None })
}

/// Finds the parent request of a nested call; `None` if the call has no context header.
///
/// # Errors
///
/// Returns a refusal if the context header names no running request, e.g. because the request has
/// ended.
fn find_parent(
    traffic: &TrafficContext,
    map: &HeaderMap,
) -> Result<Option<ParentCall>, Box<NodeResponse>> {
    if !map.contains_key(headers::CONTEXT) {
        return Ok(None);
    }
    let context = headers::text(map, &headers::CONTEXT);
    let parent = context.and_then(|context| traffic.shared.host().find_parent(context));
    match parent {
        Some(parent) => Ok(Some(parent)),
        None => Err(Box::new(NodeResponse::refusal(Reason::ParentEnded))),
    }
}

/// Finds the class of a call. A nested call takes its rank and worth from its parent request.
fn find_class(
    config: &Config,
    service: &ServiceName,
    parts: &Parts,
    path: &str,
    parent: Option<&ParentCall>,
) -> Result<Arc<ClassPolicy>, Box<NodeResponse>> {
    let class = config
        .classify(service, parts.method.as_str(), path)
        .ok_or_else(|| Box::new(NodeResponse::refusal(no_class_reason(config))))?;
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

/// Returns the reason to refuse a request that matches no class.
fn no_class_reason(config: &Config) -> Reason {
    // The class may be in an entry of the configuration that cannot be read.
    if config.global.unreadable_entries > 0 { Reason::NoConfig } else { Reason::NoClass }
}

fn find_deadline(
    received: Timestamp,
    time_left: Option<Duration>,
    class: &ClassPolicy,
    parent: Option<&ParentCall>,
) -> Timestamp {
    let mut deadline = received + class.deadline();
    if let Some(time_left) = time_left {
        deadline = deadline.min(received + time_left);
    }
    match parent {
        Some(parent) => deadline.min(parent.deadline),
        None => deadline,
    }
}

/// Retry allowance that a call starts with.
struct InitialAllowance {
    allowance: Allowance,
    /// Whether the caller has sent the request before.
    is_caller_retry: bool,
}

/// Returns the retry allowance of a caller's request. Each caller retry under the same request id
/// reduces it by one.
///
/// A request with a ticket runs at most once however often the caller retries it, so its caller
/// retries cost nothing.
fn initial_allowance(
    traffic: &TrafficContext,
    map: &HeaderMap,
    target: &Target,
    id: Option<&RequestId>,
    ticket: Option<&Ticket>,
) -> Result<InitialAllowance, Box<NodeResponse>> {
    let class = &target.class;
    let full =
        InitialAllowance { allowance: Allowance(class.retry_allowance), is_caller_retry: false };
    if ticket.is_some() || class.repeat == Repeat::Never {
        return Ok(full);
    }
    let declared = headers::parse::<u16>(map, &headers::ATTEMPT).unwrap_or(0);
    let mut host = traffic.shared.host();
    let seen_before = id.map_or(0, |id| host.record_request_id(id));
    let caller_retries = declared.max(seen_before);
    if caller_retries == 0 {
        return Ok(full);
    }
    let Some(remaining) = class.retry_allowance.checked_sub(caller_retries) else {
        return Err(Box::new(NodeResponse::refusal(Reason::AllowanceSpent)));
    };
    Ok(InitialAllowance { allowance: Allowance(remaining), is_caller_retry: true })
}

fn read_ticket(map: &HeaderMap) -> Result<Option<Ticket>, Box<NodeResponse>> {
    if !map.contains_key(headers::TICKET) {
        return Ok(None);
    }
    let ticket = headers::text(map, &headers::TICKET).and_then(Ticket::parse);
    match ticket {
        Some(ticket) => Ok(Some(ticket)),
        None => Err(Box::new(NodeResponse::refusal(Reason::TicketInvalid))),
    }
}

fn read_caller(map: &HeaderMap, from: IpAddr) -> Result<CallerKey, Box<NodeResponse>> {
    let key = match headers::text(map, &headers::CALLER) {
        Some(text) => CallerKey::new(text),
        None => CallerKey::new(&from.to_string()),
    };
    key.map_err(|_| bad_request(StatusCode::BAD_REQUEST))
}

fn generate_id(traffic: &TrafficContext) -> Result<RequestId, Box<NodeResponse>> {
    let random = traffic.shared.host().random();
    let id = format!("{}-{random:016x}", traffic.shared.settings.host);
    // An id that is too long is cut at its start, since its random end makes it unique.
    let suffix_start = id.len().saturating_sub(snipehollow_core::ids::MAX_NAME_BYTES);
    RequestId::new(&id[suffix_start..]).map_err(|_| bad_request(StatusCode::BAD_REQUEST))
}

/// Removes headers that the node consumes or sets itself.
fn forwarded_headers(mut map: HeaderMap) -> HeaderMap {
    headers::strip_all(&mut map);
    map.remove(hyper::header::HOST);
    map.remove(hyper::header::CONTENT_LENGTH);
    map.remove(hyper::header::EXPECT);
    map
}

async fn run(
    traffic: &TrafficContext,
    call: &Arc<Call>,
    parent: Option<ParentCall>,
    allowance: Allowance,
) -> NodeResponse {
    let Some(parent) = parent else {
        return entry::run(traffic, call, &mut RetryState::new(allowance)).await;
    };
    let now = traffic.shared.clock.now();
    let delegated = traffic.shared.host().begin_nested_call(now, parent.id);
    let Some(delegated) = delegated else {
        return NodeResponse::refusal(Reason::ParentEnded);
    };
    let mut nested_call = NestedCallGuard {
        traffic: traffic.clone(),
        parent: parent.id,
        delegated,
        unspent: Allowance(0),
    };
    let mut retries = RetryState::new(delegated);
    tokio::select! {
        response = entry::run(traffic, call, &mut retries) => {
            nested_call.unspent = retries.unspent();
            response
        }
        // The parent request has ended, so nothing waits for the response any more.
        () = parent.ended.cancelled() => {
            NodeResponse::failure(Reason::ParentEnded, Outcome::Unknown)
        }
    }
}

/// Records the end of a nested call and returns its unspent allowance to its parent; nothing is
/// returned if the call is dropped before it ends.
struct NestedCallGuard {
    traffic: TrafficContext,
    parent: snipehollow_core::ids::TryId,
    delegated: Allowance,
    unspent: Allowance,
}

impl Drop for NestedCallGuard {
    fn drop(&mut self) {
        let now = self.traffic.shared.clock.now();
        self.traffic.shared.host().end_nested_call(now, self.parent, self.delegated, self.unspent);
    }
}

/// Builds the HTTP response, and records that of an accepted call in the log and the metrics.
fn build_response(
    traffic: &TrafficContext,
    received: Timestamp,
    call: Option<&Call>,
    response: &NodeResponse,
    in_progress: InProgressGuard,
) -> Response<Full<Bytes>> {
    let shared = &traffic.shared;
    let revision = shared.snapshot.load().config.revision;
    let jitter = shared.host().random();
    if let Some(call) = call {
        let now = shared.clock.now();
        decisions::log_response(call, now, response, revision);
        let latency_secs = now.since(received).as_secs_f64();
        shared.metrics.record_request(&call.class.name, response.outcome, response.reason);
        shared.metrics.record_latency(&call.class.name, latency_secs);
    }
    let protocol = &*shared.adapters.protocol;
    let id = call.map(|call| &call.id);
    let mut http_response =
        response.to_caller_response(protocol, id, revision, jitter, in_progress);
    if shared.is_draining() {
        http_response
            .headers_mut()
            .insert(hyper::header::CONNECTION, hyper::header::HeaderValue::from_static("close"));
    }
    http_response
}
