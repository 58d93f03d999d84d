//! Tries at the local gate: admission, tickets, and the run at the upstream.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use http_body_util::Full;
use hyper::header::{CONTENT_LENGTH, HOST, HeaderValue};
use hyper::{Request, Uri};
use snipehollow_core::admission::{Completion, UpstreamStatus};
use snipehollow_core::class::Repeat;
use snipehollow_core::invariant;
use snipehollow_core::outcome::{Outcome, RefusalTrust};
use snipehollow_core::reason::Reason;
use snipehollow_core::retry::Allowance;
use snipehollow_core::time::Timestamp;
use snipehollow_core::trace::{Stage, Step};
use snipehollow_wire::headers;
use tokio::sync::{oneshot, watch};
use tokio::time::timeout_at;

use super::exchange::{BufferedResponse, ExchangeError, ExchangeOptions, NotSentCause, exchange};
use super::liveness::{check_end, detect_upstream_death};
use super::pool::Reuse;
use super::try_guard::TryGuard;
use super::{Call, NodeResponse, TrafficContext};
use crate::adapters::{ResponseKind, UpstreamRequest};
use crate::host::{Admission, GateDecision, HostState, StartedTry, StoredResponse, TicketAction};
use crate::logging::decisions;

/// How long after the deadline the node still waits for the response to a ticketed run, so that a
/// caller retry learns the outcome of the request.
const TICKETED_RUN_GRACE: Duration = Duration::from_secs(30);

/// Runs one try at the local gate and adds to the response what the gate reports to entry nodes.
///
/// `known_status` is what the entry node knows about the local upstream.
pub(crate) async fn run(
    traffic: &TrafficContext,
    call: &Arc<Call>,
    granted: Allowance,
    known_status: Option<&UpstreamStatus>,
) -> NodeResponse {
    if let Some(status) = known_status {
        let now = traffic.shared.clock.now();
        if traffic.shared.host().adopt_status(now, status) {
            return refuse_leaving(traffic, call, granted);
        }
    }
    let mut response = run_by_repeat_policy(traffic, call, granted).await;
    let local_service = traffic.shared.local_service();
    let now = traffic.shared.clock.now();
    let rate_limit = {
        let mut host = traffic.shared.host();
        response.shedding_levels = Some(host.shedding_levels(now, call, local_service.as_ref()));
        response.dependencies = host.dependencies_to_report(&call.class.name);
        response.upstream_status = host.local_status();
        host.rate_limit()
    };
    decisions::log_gate_result(call, now, &response, response.load_level.as_ref(), rate_limit);
    response
}

/// Refuses a try of an entry node that knows that the local upstream is leaving.
fn refuse_leaving(traffic: &TrafficContext, call: &Call, granted: Allowance) -> NodeResponse {
    let now = traffic.shared.clock.now();
    let (response, rate_limit) = {
        let mut host = traffic.shared.host();
        (refuse(traffic, &mut host, call, granted, Reason::Leaving), host.rate_limit())
    };
    decisions::log_gate_result(call, now, &response, response.load_level.as_ref(), rate_limit);
    response
}

/// Records the refusal of a try that was not dispatched, and builds the response.
fn refuse(
    traffic: &TrafficContext,
    host: &mut HostState,
    call: &Call,
    granted: Allowance,
    reason: Reason,
) -> NodeResponse {
    record_step(traffic, host, call, Stage::Gate, reason, Some(Outcome::NotRun));
    NodeResponse::refusal(reason).with_unspent(granted).with_load_level(host.load_level())
}

async fn run_by_repeat_policy(
    traffic: &TrafficContext,
    call: &Arc<Call>,
    granted: Allowance,
) -> NodeResponse {
    match (&call.ticket, call.class.repeat) {
        (None, Repeat::Idempotent | Repeat::OncePerAttempt) => {
            run_try(traffic, call, granted, Duration::ZERO).await
        }
        (None, Repeat::Never) => require_ticket(traffic, call, granted),
        (Some(_), _) => run_ticketed(traffic, call, granted).await,
    }
}

fn require_ticket(traffic: &TrafficContext, call: &Call, granted: Allowance) -> NodeResponse {
    let now = traffic.shared.clock.now();
    let mut host = traffic.shared.host();
    // A ticket can be redeemed only here, so it would be useless.
    if let Some(reason) = host.unavailability(now, &call.service) {
        return refuse(traffic, &mut host, call, granted, reason);
    }
    let ticket = host.issue_ticket(now).to_string();
    refuse(traffic, &mut host, call, granted, Reason::TicketNeeded).with_ticket(ticket)
}

async fn run_ticketed(
    traffic: &TrafficContext,
    call: &Arc<Call>,
    granted: Allowance,
) -> NodeResponse {
    let now = traffic.shared.clock.now();
    let action = {
        let mut host = traffic.shared.host();
        match &call.ticket {
            Some(ticket) => host.redeem_ticket(now, call, ticket),
            None => TicketAction::Refuse(Reason::TicketNeeded, Outcome::NotRun),
        }
    };
    match action {
        TicketAction::Run(serial, tx, rx) => {
            // The run has a task of its own, so that it continues when its caller disconnects and
            // a caller retry with the same ticket learns the outcome.
            let task = spawn_ticketed(traffic.clone(), Arc::clone(call), granted, serial, tx);
            let response = await_ticketed(traffic, call, rx).await;
            drop(task);
            response
        }
        // The run spends the allowance granted to the call that started it; this call spends none
        // of its own.
        TicketAction::Join(rx) => await_ticketed(traffic, call, rx).await.with_unspent(granted),
        TicketAction::Replay(stored) => replay(traffic, call, &stored).with_unspent(granted),
        TicketAction::Refuse(reason, outcome) => {
            let mut host = traffic.shared.host();
            record_step(traffic, &mut host, call, Stage::Gate, reason, Some(outcome));
            let mut response = NodeResponse::failure(reason, outcome).with_unspent(granted);
            if reason == Reason::TicketExpired {
                response = response.with_ticket(host.issue_ticket(now).to_string());
            }
            response.with_load_level(host.load_level())
        }
    }
}

fn spawn_ticketed(
    traffic: TrafficContext,
    call: Arc<Call>,
    granted: Allowance,
    serial: u64,
    tx: watch::Sender<Option<StoredResponse>>,
) -> tokio::task::JoinHandle<()> {
    tokio::spawn(async move {
        let response = Arc::new(run_try(&traffic, &call, granted, TICKETED_RUN_GRACE).await);
        let now = traffic.shared.clock.now();
        traffic.shared.host().end_ticketed_run(now, serial, &response);
        // Sending fails if no call waits for the response any more.
        let _ = tx.send(Some(response));
    })
}

async fn await_ticketed(
    traffic: &TrafficContext,
    call: &Call,
    mut rx: watch::Receiver<Option<StoredResponse>>,
) -> NodeResponse {
    let deadline = tokio::time::Instant::from_std(traffic.shared.clock.instant(call.deadline));
    let result = timeout_at(deadline, rx.wait_for(Option::is_some)).await;
    match result {
        Ok(Ok(response)) => match response.as_ref() {
            Some(response) => NodeResponse::clone(response),
            None => NodeResponse::failure(Reason::TicketUnknown, Outcome::Unknown),
        },
        Ok(Err(_)) => NodeResponse::failure(Reason::TicketUnknown, Outcome::Unknown),
        // The run continues, so its outcome is not known yet.
        Err(_) => NodeResponse::failure(Reason::Timeout, Outcome::Unknown),
    }
}

fn replay(traffic: &TrafficContext, call: &Call, stored: &NodeResponse) -> NodeResponse {
    let mut host = traffic.shared.host();
    record_step(traffic, &mut host, call, Stage::Gate, Reason::TicketReplayed, Some(Outcome::Ran));
    NodeResponse { reason: Reason::TicketReplayed, load_level: host.load_level(), ..stored.clone() }
}

/// Waits for a slot, runs the request at the upstream and reports the end of the try to the gate.
async fn run_try(
    traffic: &TrafficContext,
    call: &Arc<Call>,
    granted: Allowance,
    grace: Duration,
) -> NodeResponse {
    let admission = {
        let now = traffic.shared.clock.now();
        let mut host = traffic.shared.host();
        let admission = host.admit(now, call);
        if let Admission::Refused(reason) = admission {
            return refuse(traffic, &mut host, call, granted, reason);
        }
        admission
    };
    let Admission::Wait(id, rx, dispatch_in) = admission else {
        return NodeResponse::refusal(Reason::NoUpstream).with_unspent(granted);
    };
    if let Some(wait) = dispatch_in {
        spawn_dispatch(traffic, wait);
    }
    let mut guard = TryGuard::new(traffic, id);
    match await_decision(traffic, call, rx).await {
        GateDecision::Refuse(reason) => {
            let load_level = guard.end(Completion::Failed).1;
            let mut host = traffic.shared.host();
            record_step(traffic, &mut host, call, Stage::Gate, reason, Some(Outcome::NotRun));
            NodeResponse::refusal(reason).with_unspent(granted).with_load_level(load_level)
        }
        GateDecision::Dispatch => run_at_upstream(traffic, call, granted, grace, guard).await,
    }
}

/// Starts a task that dispatches the waiting tries one by one as the upstream's rate limit allows,
/// the first one after `wait`.
fn spawn_dispatch(traffic: &TrafficContext, mut wait: Duration) {
    let shared = Arc::clone(&traffic.shared);
    tokio::spawn(async move {
        loop {
            tokio::time::sleep(wait).await;
            let now = shared.clock.now();
            match shared.host().dispatch_waiting(now) {
                Some(next) => wait = next,
                None => return,
            }
        }
    });
}

async fn await_decision(
    traffic: &TrafficContext,
    call: &Call,
    mut rx: oneshot::Receiver<GateDecision>,
) -> GateDecision {
    // Most tries are dispatched immediately; this avoids setting a timer for them.
    if let Ok(decision) = rx.try_recv() {
        return decision;
    }
    let limit = tokio::time::Instant::from_std(traffic.shared.clock.instant(call.respond_by()));
    match timeout_at(limit, rx).await {
        Ok(Ok(decision)) => decision,
        Ok(Err(_)) => GateDecision::Refuse(Reason::NoUpstream),
        Err(_) => GateDecision::Refuse(Reason::DeadlinePassed),
    }
}

async fn run_at_upstream(
    traffic: &TrafficContext,
    call: &Arc<Call>,
    granted: Allowance,
    grace: Duration,
    mut guard: TryGuard,
) -> NodeResponse {
    let started = {
        let now = traffic.shared.clock.now();
        let mut host = traffic.shared.host();
        let started = host.start_try(now, guard.id, call, granted);
        let reason = started.as_ref().err().copied().unwrap_or(Reason::SlotFree);
        host.trace(&call.id, Step::new(now, Stage::Gate, reason, call.attempt));
        started
    };
    let started = match started {
        Ok(started) => started,
        Err(reason) => {
            let load_level = guard.end(Completion::Failed).1;
            return NodeResponse::refusal(reason).with_unspent(granted).with_load_level(load_level);
        }
    };
    guard.started = traffic.shared.clock.now();
    let req = match upstream_request(traffic, call, &started, guard.started) {
        Ok(req) => req,
        Err(_) => {
            let (unspent, load_level) = guard.end(Completion::Failed);
            return NodeResponse::refusal(Reason::BadRequest)
                .with_unspent(unspent)
                .with_load_level(load_level);
        }
    };
    let deadline = traffic.shared.clock.instant(call.deadline) + grace;
    let options = ExchangeOptions {
        id: Some(&call.id),
        held: &traffic.held,
        max_bytes: traffic.shared.settings.bounds.max_response_bytes,
        allow_unframed: traffic.shared.adapters.protocol.allows_close_delimited_responses(),
        reuse: Reuse::of(call.class.repeat),
    };
    let result = exchange(&traffic.pool, started.addr, req, deadline, options).await;
    finish(traffic, call, &started, result, guard).await
}

fn upstream_request(
    traffic: &TrafficContext,
    call: &Call,
    started: &StartedTry,
    now: Timestamp,
) -> Result<Request<Full<bytes::Bytes>>, hyper::http::Error> {
    let uri: Uri = call.path.parse()?;
    let mut req = Request::new(Full::new(call.body.clone()));
    *req.method_mut() = call.method.clone();
    *req.uri_mut() = uri;
    *req.headers_mut() = call.headers.clone();
    let map = req.headers_mut();
    map.remove(CONTENT_LENGTH);
    let host = match &call.virtual_host {
        Some(host) => host.clone(),
        None => HeaderValue::from_str(&started.addr.to_string())?,
    };
    map.insert(HOST, host);
    traffic.shared.adapters.protocol.write_request(&request_head(call, started, now), map);
    Ok(req)
}

fn request_head<'a>(
    call: &'a Call,
    started: &'a StartedTry,
    now: Timestamp,
) -> UpstreamRequest<'a> {
    UpstreamRequest {
        id: &call.id,
        time_left: call.deadline.since(now),
        caller_service: call.caller_service.as_ref(),
        instance: started.instance.as_ref(),
        context: &started.context,
    }
}

/// Frees the slot of the try and builds the response from what the upstream returned.
async fn finish(
    traffic: &TrafficContext,
    call: &Call,
    started: &StartedTry,
    result: Result<BufferedResponse, ExchangeError>,
    mut guard: TryGuard,
) -> NodeResponse {
    let (completion, mut response) = match check_end(traffic, started, result).await {
        Ok(buffered) => classify_response(traffic, call, started, guard.started, buffered),
        Err(err) => classify_failure(traffic, started.addr, err).await,
    };
    let (unspent, load_level) = guard.end(completion);
    response = response.with_unspent(unspent).with_load_level(load_level);
    let mut host = traffic.shared.host();
    record_step(traffic, &mut host, call, Stage::Upstream, response.reason, Some(response.outcome));
    response
}

fn classify_response(
    traffic: &TrafficContext,
    call: &Call,
    started: &StartedTry,
    dispatched: Timestamp,
    mut buffered: BufferedResponse,
) -> (Completion, NodeResponse) {
    let head = request_head(call, started, traffic.shared.clock.now());
    let kind = traffic.shared.adapters.protocol.classify_response(
        &head,
        buffered.status,
        &buffered.headers,
    );
    invariant!(
        !kind.may_prove_not_run() || response_id(traffic, &buffered) == Some(call.id.as_str()),
        "response {kind:?} to {} names {:?}",
        call.id,
        response_id(traffic, &buffered)
    );
    // A mismatched response may belong to another request. The connection is then out of sync and
    // must not be reused.
    if let Some(mut connection) =
        buffered.connection.take().filter(|_| kind != ResponseKind::Mismatched)
    {
        if kind != ResponseKind::Complete || !buffered.status.is_success() {
            connection.record_retryable();
        }
        traffic.pool.return_connection(connection);
    }
    // These responses may come from another upstream.
    if !matches!(kind, ResponseKind::Mismatched | ResponseKind::OtherInstance) {
        let signals = traffic.shared.adapters.protocol.read_signals(&buffered.headers);
        let now = traffic.shared.clock.now();
        traffic.shared.host().record_signals(now, started, dispatched, signals);
    }
    match kind {
        ResponseKind::Complete => complete_response(buffered),
        ResponseKind::NotExecuted => {
            let outcome = buffered.proof.refused_by_upstream(RefusalTrust::Trusted);
            refused_response(Reason::UpstreamRefused, outcome)
        }
        ResponseKind::Refused => {
            let outcome = buffered.proof.refused_by_upstream(refusal_trust(traffic, call));
            let (completion, response) = refused_response(Reason::UpstreamRefused, outcome);
            (completion, response.with_status(buffered.status))
        }
        ResponseKind::UnidentifiedRefusal => {
            let outcome = buffered.proof.refused_by_upstream(RefusalTrust::Untrusted);
            let (completion, response) = refused_response(Reason::UpstreamRefused, outcome);
            (completion, response.with_status(buffered.status))
        }
        ResponseKind::OtherInstance => {
            let outcome = buffered.proof.refused_by_upstream(RefusalTrust::Trusted);
            (Completion::Failed, NodeResponse::failure(Reason::NoUpstream, outcome))
        }
        ResponseKind::Mismatched => (
            Completion::Failed,
            NodeResponse::failure(Reason::ForeignAnswer, buffered.proof.fail()),
        ),
    }
}

fn response_id<'a>(traffic: &TrafficContext, buffered: &'a BufferedResponse) -> Option<&'a str> {
    traffic.shared.adapters.protocol.response_id(&buffered.headers)
}

fn refused_response(reason: Reason, outcome: Outcome) -> (Completion, NodeResponse) {
    (Completion::Overloaded, NodeResponse::failure(reason, outcome))
}

fn complete_response(buffered: BufferedResponse) -> (Completion, NodeResponse) {
    let completion =
        if buffered.status.is_server_error() { Completion::Failed } else { Completion::Succeeded };
    let mut map = buffered.headers;
    headers::strip_all(&mut map);
    // The length is set again when the buffered body is sent.
    map.remove(CONTENT_LENGTH);
    let response = NodeResponse {
        status: buffered.status,
        headers: map,
        body: buffered.body,
        outcome: buffered.proof.complete(),
        reason: Reason::Completed,
        unspent: Allowance(0),
        load_level: None,
        shedding_levels: None,
        dependencies: Vec::new(),
        upstream_status: None,
        tries: 0,
        ticket: None,
    };
    (completion, response)
}

fn refusal_trust(traffic: &TrafficContext, call: &Call) -> RefusalTrust {
    let snapshot = traffic.shared.snapshot.load();
    snapshot
        .config
        .service(&call.service)
        .map_or(RefusalTrust::Untrusted, |service| service.refusals)
}

async fn classify_failure(
    traffic: &TrafficContext,
    addr: SocketAddr,
    err: ExchangeError,
) -> (Completion, NodeResponse) {
    let response = match err {
        ExchangeError::NotSent(proof, cause) => {
            let reason = match cause {
                NotSentCause::ConnectFailed => Reason::NoUpstream,
                NotSentCause::TimedOut => Reason::DeadlinePassed,
            };
            if cause == NotSentCause::ConnectFailed {
                detect_upstream_death(traffic, addr).await;
            }
            NodeResponse::failure(reason, proof.refuse())
        }
        ExchangeError::Incomplete(proof) => {
            let died = detect_upstream_death(traffic, addr).await;
            let reason = if died { Reason::UpstreamDied } else { Reason::AnswerCut };
            NodeResponse::failure(reason, proof.fail())
        }
        ExchangeError::TimedOut(proof) => NodeResponse::failure(Reason::Timeout, proof.fail()),
        ExchangeError::TooLarge(proof) => NodeResponse::failure(Reason::AnswerCut, proof.fail()),
    };
    (Completion::Failed, response)
}

fn record_step(
    traffic: &TrafficContext,
    host: &mut HostState,
    call: &Call,
    stage: Stage,
    reason: Reason,
    outcome: Option<Outcome>,
) {
    let now = traffic.shared.clock.now();
    let mut step = Step::new(now, stage, reason, call.attempt);
    step.outcome = outcome;
    host.trace(&call.id, step);
}
