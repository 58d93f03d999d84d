//! Tries at the local gate: admission, run at the upstream, tickets.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use http_body_util::Full;
use hyper::header::{CONTENT_LENGTH, HOST, HeaderValue};
use hyper::{Request, Uri};
use snipehollow_core::admission::{Completion, LoadLevel};
use snipehollow_core::class::Repeat;
use snipehollow_core::ids::TryId;
use snipehollow_core::outcome::{Outcome, RefusalTrust};
use snipehollow_core::reason::Reason;
use snipehollow_core::retry::Allowance;
use snipehollow_core::time::Timestamp;
use snipehollow_core::trace::{Stage, Step};
use snipehollow_wire::headers;
use tokio::sync::{oneshot, watch};
use tokio::time::timeout_at;

use super::exchange::{ExchangeError, ExchangeLimits, NotSentCause, WholeResponse, exchange};
use super::pool::Reuse;
use super::{Answer, Call, Traffic};
use crate::edges::{Judgement, UpstreamRequest};
use crate::host::{Admission, GateDecision, StartedTry, StoredResponse, TicketAction};
use crate::logging::decisions;

/// Time past the deadline for which the answer of a ticketed run is still awaited, so that a
/// repeat can be told what became of it.
const TICKET_GRACE: Duration = Duration::from_secs(30);
/// Time in which a connection must come about that checks whether the upstream lives.
const LIVENESS_TIMEOUT: Duration = Duration::from_millis(500);

/// Runs one try at the local gate.
pub(crate) async fn run(traffic: &Traffic, call: &Arc<Call>, granted: Allowance) -> Answer {
    let mut answer = decide_and_run(traffic, call, granted).await;
    let local = traffic.shared.local_service();
    let now = traffic.shared.clock.now();
    {
        let mut host = traffic.shared.host();
        answer.pressure = Some(host.shedding_levels(now, call, local.as_ref()));
        answer.reach = host.dependencies_to_report(&call.class.name);
    }
    decisions::gated(call, now, &answer, answer.level.as_ref());
    answer
}

async fn decide_and_run(traffic: &Traffic, call: &Arc<Call>, granted: Allowance) -> Answer {
    match (&call.ticket, call.class.repeat) {
        (None, Repeat::Idempotent | Repeat::OncePerAttempt) => {
            run_try(traffic, call, granted, Duration::ZERO).await
        }
        (None, Repeat::Never) => refuse_without_ticket(traffic, call, granted),
        (Some(_), _) => run_ticketed(traffic, call, granted).await,
    }
}

fn refuse_without_ticket(traffic: &Traffic, call: &Call, granted: Allowance) -> Answer {
    let now = traffic.shared.clock.now();
    let mut host = traffic.shared.host();
    let ticket = host.issue_ticket(now).to_string();
    let level = host.load_level();
    trace(traffic, &mut host, call, Stage::Gate, Reason::TicketNeeded, Some(Outcome::NotRun));
    Answer::refusal(Reason::TicketNeeded)
        .with_ticket(ticket)
        .with_unspent(granted)
        .with_level(level)
}

async fn run_ticketed(traffic: &Traffic, call: &Arc<Call>, granted: Allowance) -> Answer {
    let now = traffic.shared.clock.now();
    let usage = {
        let mut host = traffic.shared.host();
        match &call.ticket {
            Some(ticket) => host.redeem_ticket(now, call, ticket),
            None => TicketAction::Refuse(Reason::TicketNeeded, Outcome::NotRun),
        }
    };
    match usage {
        TicketAction::Run(serial, tx, rx) => {
            // The run has a task of its own: it is neither cut short nor forgotten when its
            // caller leaves, so a repeat learns what became of it.
            let task = spawn_ticketed(traffic.clone(), Arc::clone(call), granted, serial, tx);
            let answer = await_ticketed(traffic, call, rx).await;
            drop(task);
            answer
        }
        // The grant of the running try is its own; this call spends nothing.
        TicketAction::Join(rx) => await_ticketed(traffic, call, rx).await.with_unspent(granted),
        TicketAction::Replay(stored) => replay(traffic, call, &stored).with_unspent(granted),
        TicketAction::Refuse(reason, outcome) => {
            let mut host = traffic.shared.host();
            trace(traffic, &mut host, call, Stage::Gate, reason, Some(outcome));
            let mut answer = Answer::failure(reason, outcome).with_unspent(granted);
            if reason == Reason::TicketExpired {
                answer = answer.with_ticket(host.issue_ticket(now).to_string());
            }
            answer.with_level(host.load_level())
        }
    }
}

fn spawn_ticketed(
    traffic: Traffic,
    call: Arc<Call>,
    granted: Allowance,
    serial: u64,
    tx: watch::Sender<Option<StoredResponse>>,
) -> tokio::task::JoinHandle<()> {
    tokio::spawn(async move {
        let answer = Arc::new(run_try(&traffic, &call, granted, TICKET_GRACE).await);
        let now = traffic.shared.clock.now();
        traffic.shared.host().end_ticketed_run(now, serial, &answer);
        // Nobody may be waiting any more.
        let _ = tx.send(Some(answer));
    })
}

async fn await_ticketed(
    traffic: &Traffic,
    call: &Call,
    mut rx: watch::Receiver<Option<StoredResponse>>,
) -> Answer {
    let deadline = tokio::time::Instant::from_std(traffic.shared.clock.instant(call.deadline));
    let ended = timeout_at(deadline, rx.wait_for(Option::is_some)).await;
    match ended {
        Ok(Ok(answer)) => match answer.as_ref() {
            Some(answer) => Answer::clone(answer),
            None => Answer::failure(Reason::TicketUnknown, Outcome::Unknown),
        },
        Ok(Err(_)) => Answer::failure(Reason::TicketUnknown, Outcome::Unknown),
        // The run goes on: whether it runs to its end is not known yet.
        Err(_) => Answer::failure(Reason::Timeout, Outcome::Unknown),
    }
}

fn replay(traffic: &Traffic, call: &Call, stored: &Answer) -> Answer {
    let mut host = traffic.shared.host();
    trace(traffic, &mut host, call, Stage::Gate, Reason::TicketReplayed, Some(Outcome::Ran));
    Answer { reason: Reason::TicketReplayed, level: host.load_level(), ..stored.clone() }
}

/// Asks for a slot, runs the request at the upstream, and reports its end.
async fn run_try(
    traffic: &Traffic,
    call: &Arc<Call>,
    granted: Allowance,
    grace: Duration,
) -> Answer {
    let admission = {
        let now = traffic.shared.clock.now();
        let mut host = traffic.shared.host();
        let admission = host.admit(now, call);
        if let Admission::Refused(reason) = admission {
            trace(traffic, &mut host, call, Stage::Gate, reason, Some(Outcome::NotRun));
            let level = host.load_level();
            return Answer::refusal(reason).with_unspent(granted).with_level(level);
        }
        admission
    };
    let Admission::Wait(id, rx) = admission else {
        return Answer::refusal(Reason::NoUpstream).with_unspent(granted);
    };
    let mut guard = TryGuard::new(traffic, id);
    match await_word(traffic, call, rx).await {
        GateDecision::Refuse(reason) => {
            let level = guard.end(Completion::Failed).1;
            let mut host = traffic.shared.host();
            trace(traffic, &mut host, call, Stage::Gate, reason, Some(Outcome::NotRun));
            Answer::refusal(reason).with_unspent(granted).with_level(level)
        }
        GateDecision::Dispatch => run_at_upstream(traffic, call, granted, grace, guard).await,
    }
}

async fn await_word(
    traffic: &Traffic,
    call: &Call,
    mut rx: oneshot::Receiver<GateDecision>,
) -> GateDecision {
    // Most tries are dispatched at once: no timer is needed for them.
    if let Ok(word) = rx.try_recv() {
        return word;
    }
    let deadline = tokio::time::Instant::from_std(traffic.shared.clock.instant(call.deadline));
    match timeout_at(deadline, rx).await {
        Ok(Ok(word)) => word,
        Ok(Err(_)) => GateDecision::Refuse(Reason::NoUpstream),
        Err(_) => GateDecision::Refuse(Reason::DeadlinePassed),
    }
}

async fn run_at_upstream(
    traffic: &Traffic,
    call: &Arc<Call>,
    granted: Allowance,
    grace: Duration,
    mut guard: TryGuard,
) -> Answer {
    let started = {
        let now = traffic.shared.clock.now();
        let mut host = traffic.shared.host();
        let started = host.start_try(now, guard.id, call, granted);
        let reason = if started.is_some() { Reason::SlotFree } else { Reason::NoUpstream };
        host.trace(&call.id, Step::new(now, Stage::Gate, reason, call.attempt));
        started
    };
    let Some(started) = started else {
        guard.end(Completion::Failed);
        return Answer::refusal(Reason::NoUpstream).with_unspent(granted);
    };
    guard.started = traffic.shared.clock.now();
    let req = match upstream_request(traffic, call, &started, guard.started) {
        Ok(req) => req,
        Err(_) => {
            let (unspent, level) = guard.end(Completion::Failed);
            return Answer::refusal(Reason::BadRequest).with_unspent(unspent).with_level(level);
        }
    };
    let deadline = traffic.shared.clock.instant(call.deadline) + grace;
    let limits = ExchangeLimits {
        max_bytes: traffic.shared.settings.bounds.max_response_bytes,
        unframed: traffic.shared.edges.protocol.answers_may_end_with_connection(),
        reuse: Reuse::of(call.class.repeat),
    };
    let result = exchange(&traffic.pool, started.addr, req, deadline, limits).await;
    finish(traffic, call, &started, result, guard).await
}

fn upstream_request(
    traffic: &Traffic,
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
    traffic.shared.edges.protocol.write_request(&request_head(call, started, now), map);
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
        caller_service: call.origin.as_ref(),
        instance: started.instance.as_ref(),
        context: &started.context,
    }
}

/// Turns what the upstream did into an answer.
async fn finish(
    traffic: &Traffic,
    call: &Call,
    started: &StartedTry,
    result: Result<WholeResponse, ExchangeError>,
    mut guard: TryGuard,
) -> Answer {
    let (completion, mut answer) = match result {
        Ok(whole) => judge_response(traffic, call, started, whole),
        Err(err) => judge_failure(traffic, started.addr, err).await,
    };
    let (unspent, level) = guard.end(completion);
    answer = answer.with_unspent(unspent).with_level(level);
    let mut host = traffic.shared.host();
    trace(traffic, &mut host, call, Stage::Upstream, answer.reason, Some(answer.outcome));
    answer
}

fn judge_response(
    traffic: &Traffic,
    call: &Call,
    started: &StartedTry,
    mut whole: WholeResponse,
) -> (Completion, Answer) {
    let head = request_head(call, started, traffic.shared.clock.now());
    let judgement = traffic.shared.edges.protocol.judge(&head, whole.status, &whole.headers);
    // After an answer to another request the connection is out of step.
    if let Some(connection) = whole.connection.take().filter(|_| judgement != Judgement::Foreign) {
        traffic.pool.give_back(connection);
    }
    match judgement {
        Judgement::Complete => complete_answer(whole),
        Judgement::NotExecuted => {
            let outcome = whole.proof.refused_by_upstream(RefusalTrust::Trusted);
            refused_answer(Reason::UpstreamRefused, outcome)
        }
        Judgement::Refused => {
            let outcome = whole.proof.refused_by_upstream(refusal_trust(traffic, call));
            let (completion, answer) = refused_answer(Reason::UpstreamRefused, outcome);
            (completion, answer.with_status(whole.status))
        }
        Judgement::OtherInstance => {
            let outcome = whole.proof.refused_by_upstream(RefusalTrust::Trusted);
            (Completion::Failed, Answer::failure(Reason::NoUpstream, outcome))
        }
        Judgement::Foreign => {
            (Completion::Failed, Answer::failure(Reason::ForeignAnswer, whole.proof.fail()))
        }
    }
}

fn refused_answer(reason: Reason, outcome: Outcome) -> (Completion, Answer) {
    (Completion::Overloaded, Answer::failure(reason, outcome))
}

fn complete_answer(whole: WholeResponse) -> (Completion, Answer) {
    let completion =
        if whole.status.is_server_error() { Completion::Failed } else { Completion::Succeeded };
    let mut map = whole.headers;
    headers::strip_all(&mut map);
    // The length is written anew for the body that was read whole.
    map.remove(CONTENT_LENGTH);
    let answer = Answer {
        status: whole.status,
        headers: map,
        body: whole.body,
        outcome: whole.proof.complete(),
        reason: Reason::Completed,
        unspent: Allowance(0),
        level: None,
        pressure: None,
        reach: Vec::new(),
        tries: 0,
        ticket: None,
    };
    (completion, answer)
}

fn refusal_trust(traffic: &Traffic, call: &Call) -> RefusalTrust {
    let snapshot = traffic.shared.snapshot.load();
    snapshot.config.service(&call.service).map_or(RefusalTrust::Untrusted, |s| s.refusals)
}

async fn judge_failure(
    traffic: &Traffic,
    addr: SocketAddr,
    err: ExchangeError,
) -> (Completion, Answer) {
    let answer = match err {
        ExchangeError::NotSent(proof, cause) => {
            let reason = match cause {
                NotSentCause::Refused => Reason::NoUpstream,
                NotSentCause::TimedOut => Reason::DeadlinePassed,
            };
            if cause == NotSentCause::Refused {
                check_upstream(traffic, addr).await;
            }
            Answer::failure(reason, proof.refuse())
        }
        ExchangeError::Cut(proof) => {
            let died = check_upstream(traffic, addr).await;
            let reason = if died { Reason::UpstreamDied } else { Reason::AnswerCut };
            Answer::failure(reason, proof.fail())
        }
        ExchangeError::TimedOut(proof) => Answer::failure(Reason::Timeout, proof.fail()),
        ExchangeError::TooLarge(proof) => Answer::failure(Reason::AnswerCut, proof.fail()),
    };
    (Completion::Failed, answer)
}

/// Checks whether the upstream still accepts connections; if not, it is recorded as dead
/// while all that was in flight still counts as in flight, so that each is suspected.
async fn check_upstream(traffic: &Traffic, addr: SocketAddr) -> bool {
    let attempt = tokio::net::TcpStream::connect(addr);
    let alive = matches!(tokio::time::timeout(LIVENESS_TIMEOUT, attempt).await, Ok(Ok(_)));
    if alive {
        return false;
    }
    let now = traffic.shared.clock.now();
    let facts = {
        let mut host = traffic.shared.host();
        if host.has_upstream_at(addr) {
            host.remove_upstream(now);
        }
        host.upstream_info(now)
    };
    traffic.shared.control().set_upstream(now, facts);
    true
}

fn trace(
    traffic: &Traffic,
    host: &mut crate::host::HostState,
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

/// Frees the slot of a try exactly once, also when its task is dropped because the caller
/// left.
struct TryGuard {
    traffic: Traffic,
    id: TryId,
    started: Timestamp,
    ended: bool,
}

impl TryGuard {
    fn new(traffic: &Traffic, id: TryId) -> TryGuard {
        let started = traffic.shared.clock.now();
        TryGuard { traffic: traffic.clone(), id, started, ended: false }
    }

    fn end(&mut self, completion: Completion) -> (Allowance, Option<LoadLevel>) {
        self.ended = true;
        let now = self.traffic.shared.clock.now();
        let end = self.traffic.shared.host().end_try(now, self.started, self.id, completion);
        (end.unspent, end.level)
    }
}

impl Drop for TryGuard {
    fn drop(&mut self) {
        if !self.ended {
            self.end(Completion::Failed);
        }
    }
}
