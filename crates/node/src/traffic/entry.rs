//! Entry node of a call: sheds calls of overloaded call trees, chooses a host for each try and
//! decides on retries.

use std::sync::Arc;
use std::time::Duration;

use snipehollow_core::admission::LoadLevel;
use snipehollow_core::class::Repeat;
use snipehollow_core::ids::HostName;
use snipehollow_core::invariant;
use snipehollow_core::outcome::Outcome;
use snipehollow_core::reason::Reason;
use snipehollow_core::retry::{Allowance, RetryState};
use snipehollow_core::routing::{Distance, FinishedTry, LinkCharge, Route, RouteQuery, TryResult};
use snipehollow_core::time::Timestamp;
use snipehollow_core::trace::{Stage, Step};

use super::{Call, NodeResponse, TrafficContext, gate, peer_client};
use crate::logging::decisions::{self, RouteBasis};

/// Minimum time to the deadline for a retry to be made.
const MIN_TIME_FOR_RETRY: Duration = Duration::from_millis(2);
/// Maximum time to wait for a usable host of the service to become known.
const MAX_HOST_WAIT: Duration = Duration::from_millis(400);
/// Interval at which the router is queried again during that wait.
const HOST_POLL_INTERVAL: Duration = Duration::from_millis(40);
/// Number of tries, refused ones included, after which a request is not retried if its last try
/// did not reach an upstream. Until then such a retry costs neither allowance nor budget.
const MAX_HOSTS_TRIED: usize = 4;
/// Number of upstream deaths during tries of a request after which it is no longer retried.
const MAX_UPSTREAM_DEATHS: u16 = 2;

/// Runs a call: makes tries until the upstream responds or no further try is allowed.
pub(crate) async fn run(
    traffic: &TrafficContext,
    call: &Arc<Call>,
    retries: &mut RetryState,
) -> NodeResponse {
    let started = traffic.shared.clock.now();
    if let Some(response) = shed_if_overloaded(traffic, call, started) {
        return response.with_unspent(retries.unspent());
    }
    let initial_allowance = retries.unspent();
    let mut progress = Progress {
        outcome: Outcome::NotRun,
        tried: Vec::new(),
        upstream_deaths: 0,
        last_host_unavailable: false,
    };
    let mut time_in_tries = Duration::ZERO;
    let mut call = Arc::clone(call);
    loop {
        call = with_entry_end(traffic, call);
        let route = match choose_host_or_wait(traffic, &call, &progress).await {
            Ok(route) => route,
            Err(reason) => {
                break finish(traffic, &call, retries, &progress, NodeResponse::refusal(reason));
            }
        };
        let try_started = traffic.shared.clock.now();
        log_route(traffic, &call, &route, try_started);
        let response = try_once(traffic, &call, retries, &route).await;
        time_in_tries += traffic.shared.clock.now().since(try_started);
        progress.record_try(&route.host.host, &response);
        invariant!(
            retries.spent() <= initial_allowance.0,
            "{} retries made with an allowance of {}",
            retries.spent(),
            initial_allowance.0
        );
        if needs_new_ticket(&call, &response) {
            // The request will never run under the old ticket, so another host may issue a new
            // one. This does not count as a retry because nothing has run.
            call = without_ticket(&call);
            continue;
        }
        if response.is_from_upstream() || !may_retry(traffic, &call, retries, &progress, &response)
        {
            let total_time = traffic.shared.clock.now().since(started);
            traffic
                .shared
                .metrics
                .record_added_latency(total_time.saturating_sub(time_in_tries).as_secs_f64());
            break finish(traffic, &call, retries, &progress, response);
        }
        traffic.shared.metrics.record_retry(&call.class.name);
        call = next_try(&call, &progress, response.reason);
    }
}

/// Sheds a root request whose call tree depends on an overloaded service, before any work is spent
/// on it.
fn shed_if_overloaded(
    traffic: &TrafficContext,
    call: &Call,
    now: Timestamp,
) -> Option<NodeResponse> {
    let mut host = traffic.shared.host();
    host.record_call_arrival(now, call);
    let shedding_level = host.shed(now, &call.class)?;
    let step = Step::new(now, Stage::Answer, Reason::TreeOverloaded, call.attempt);
    host.trace(&call.id, step.with_outcome(Outcome::NotRun));
    drop(host);
    decisions::log_shed(call, shedding_level);
    Some(NodeResponse::refusal(Reason::TreeOverloaded))
}

fn log_route(traffic: &TrafficContext, call: &Call, route: &Route, now: Timestamp) {
    let basis = {
        let snapshot = traffic.shared.snapshot.load_full();
        let mut host = traffic.shared.host();
        let router = host.router(now, &snapshot);
        RouteBasis {
            level_age: router.stats(&route.host.host).and_then(|stats| stats.level_age(now)),
            known_hosts: router.hosts(&call.service).len(),
            revision: snapshot.config.revision,
        }
    };
    decisions::log_route(call, route, &basis);
}

struct Progress {
    /// Combined outcome of the tries so far.
    outcome: Outcome,
    tried: Vec<HostName>,
    upstream_deaths: u16,
    /// Whether the host of the last try was unreachable or had no upstream.
    last_host_unavailable: bool,
}

impl Progress {
    fn record_try(&mut self, host: &HostName, response: &NodeResponse) {
        self.outcome = self.outcome.combine(response.outcome);
        self.tried.push(host.clone());
        self.last_host_unavailable =
            matches!(response.reason, Reason::Unreachable | Reason::NoUpstream);
        self.upstream_deaths += u16::from(response.reason == Reason::UpstreamDied);
    }
}

/// Chooses a host, waiting up to [`MAX_HOST_WAIT`] if none is known yet, or if the last try found
/// its host unavailable and the router chooses a host that was already tried.
///
/// This happens, for example, when a service is called for the first time and other zones have not
/// yet returned its hosts.
async fn choose_host_or_wait(
    traffic: &TrafficContext,
    call: &Call,
    progress: &Progress,
) -> Result<Route, Reason> {
    let mut waited = Duration::ZERO;
    loop {
        let chosen = choose_host(traffic, call, &progress.tried);
        let time_left = call.respond_by().since(traffic.shared.clock.now());
        let may_wait = waited < MAX_HOST_WAIT && time_left > HOST_POLL_INTERVAL * 2;
        let needs_other_host = match &chosen {
            Ok(route) => {
                progress.last_host_unavailable && progress.tried.contains(&route.host.host)
            }
            Err(reason) => *reason == Reason::NoHost,
        };
        if !needs_other_host || !may_wait {
            return chosen;
        }
        tokio::time::sleep(HOST_POLL_INTERVAL).await;
        waited += HOST_POLL_INTERVAL;
    }
}

/// Chooses a host. A request with a ticket must go to the host that issued the ticket.
fn choose_host(traffic: &TrafficContext, call: &Call, tried: &[HostName]) -> Result<Route, Reason> {
    let now = traffic.shared.clock.now();
    let snapshot = traffic.shared.snapshot.load_full();
    let mut host = traffic.shared.host();
    host.record_called_service(&call.service);
    let chosen = match &call.ticket {
        Some(ticket) => {
            let router = host.router(now, &snapshot);
            let issuer = router.find(now, &call.service, &ticket.host).cloned();
            issuer
                .map(|host| Route { distance: router.distance(&host), host })
                .ok_or(Reason::NoHost)
        }
        None => {
            let query = RouteQuery {
                service: &call.service,
                rank: call.class.rank,
                class: &call.class.name,
                budget: call.worth_until().since(now),
                tried,
            };
            let (router, rng) = host.router_and_rng(now, &snapshot);
            router.choose(now, rng, &query)
        }
    };
    let step = match &chosen {
        Ok(route) => {
            Step::new(now, Stage::Route, Reason::Queued, call.attempt).with_host(&route.host.host)
        }
        Err(reason) => Step::new(now, Stage::Route, *reason, call.attempt),
    };
    host.trace(&call.id, step);
    chosen
}

async fn try_once(
    traffic: &TrafficContext,
    call: &Arc<Call>,
    retries: &mut RetryState,
    route: &Route,
) -> NodeResponse {
    let name = &route.host.host;
    let granted = retries.grant();
    let sent = traffic.shared.clock.now();
    let (status, link_charge) = {
        let mut host = traffic.shared.host();
        host.record_try_sent(name);
        let link_charge = (route.distance == Distance::Remote)
            .then(|| host.charge_link(sent, call.body.len() as u64 + HEAD_BYTES));
        (host.known_status(sent, name), link_charge)
    };
    let mut guard =
        RouteGuard { traffic, call, route, started: sent, link_charge, finished: false };
    let response = if *name == traffic.shared.settings.host {
        gate::run(traffic, call, granted, status.as_ref()).await
    } else {
        peer_client::run(traffic, call, granted, route, status.as_ref()).await
    };
    guard.finish(try_result(&response), &response);
    retries.return_unspent(granted, response.unspent);
    response
}

/// Returns what the response to a try indicates about the health of its host.
fn try_result(response: &NodeResponse) -> TryResult {
    match response.reason {
        Reason::Completed if response.status.is_server_error() => TryResult::Failed,
        Reason::Completed | Reason::TicketReplayed => TryResult::Succeeded,
        Reason::Unreachable
        | Reason::AnswerCut
        | Reason::ForeignAnswer
        | Reason::UpstreamDied
        | Reason::UpstreamRefused
        | Reason::NoUpstream
        | Reason::Timeout => TryResult::Failed,
        _ => TryResult::Refused,
    }
}

fn may_retry(
    traffic: &TrafficContext,
    call: &Call,
    retries: &mut RetryState,
    progress: &Progress,
    response: &NodeResponse,
) -> bool {
    let now = traffic.shared.clock.now();
    let in_time = call.respond_by().since(now) >= MIN_TIME_FOR_RETRY;
    if !in_time || !is_retryable(call, response) || progress.upstream_deaths >= MAX_UPSTREAM_DEATHS
    {
        return false;
    }
    if !response.reason.may_have_reached_upstream() {
        // No upstream received the request, so trying another host costs neither allowance nor
        // budget.
        return progress.tried.len() < MAX_HOSTS_TRIED;
    }
    let refusal = if retries.unspent() == Allowance(0) {
        Some(Reason::AllowanceSpent)
    } else if traffic.shared.host().is_budget_spent(now, &call.service, call.class.rank) {
        Some(Reason::BudgetSpent)
    } else {
        None
    };
    let reason = refusal.unwrap_or(response.reason);
    let step = Step::new(now, Stage::Retry, reason, call.attempt).with_outcome(response.outcome);
    traffic.shared.host().trace(&call.id, step);
    refusal.is_none() && retries.spend()
}

/// Returns whether the host that issued the ticket did not run the request and can no longer run
/// it.
fn needs_new_ticket(call: &Call, response: &NodeResponse) -> bool {
    let host_cannot_run =
        matches!(response.reason, Reason::Leaving | Reason::NoUpstream | Reason::TicketVoid);
    call.ticket.is_some() && host_cannot_run && response.outcome == Outcome::NotRun
}

/// Returns the call with the time by which this node must respond if it is stopping.
fn with_entry_end(traffic: &TrafficContext, call: Arc<Call>) -> Arc<Call> {
    let end = traffic.shared.calls_end().filter(|end| *end < call.deadline);
    if end.is_none() || call.entry_end == end {
        return call;
    }
    Arc::new(Call { entry_end: end, ..Call::clone(&call) })
}

fn without_ticket(call: &Call) -> Arc<Call> {
    let mut next = call.clone();
    next.ticket = None;
    next.attempt += 1;
    Arc::new(next)
}

/// Returns whether another try may succeed and cannot run a request twice that is not idempotent.
fn is_retryable(call: &Call, response: &NodeResponse) -> bool {
    if call.ticket.is_some() {
        // Only the host that issued the ticket may run the request, so no other host can be tried.
        return false;
    }
    match response.reason {
        Reason::QueueFull
        | Reason::Evicted
        | Reason::PredictedLate
        | Reason::Leaving
        | Reason::NoUpstream
        | Reason::SuspectBusy
        | Reason::MemoryLimit
        | Reason::Unreachable
        | Reason::UpstreamRefused
        | Reason::AnswerCut
        | Reason::ForeignAnswer
        | Reason::UpstreamDied => response.outcome == Outcome::NotRun || is_idempotent(call),
        _ => false,
    }
}

fn is_idempotent(call: &Call) -> bool {
    call.class.repeat == Repeat::Idempotent
}

fn next_try(call: &Call, progress: &Progress, reason: Reason) -> Arc<Call> {
    let mut next = call.clone();
    next.attempt += 1;
    if reason.may_have_reached_upstream() {
        next.repeat_share = 1.0;
    }
    next.suspect = progress.upstream_deaths > 0;
    Arc::new(next)
}

/// Completes the final response. The outcome of a failure covers all tries, so it is `not-run`
/// only if no try can have run.
fn finish(
    traffic: &TrafficContext,
    call: &Call,
    retries: &RetryState,
    progress: &Progress,
    mut response: NodeResponse,
) -> NodeResponse {
    if !response.is_from_upstream() {
        response.outcome = response.outcome.combine(progress.outcome);
        let host_unreachable = matches!(response.reason, Reason::Unreachable | Reason::NoHost);
        if call.ticket.is_some() && host_unreachable {
            // An earlier use of the ticket may have run at the host that is now unreachable.
            response.outcome = response.outcome.combine(Outcome::Unknown);
        }
    }
    response.unspent = retries.unspent();
    response.tries = progress.tried.len() as u16;
    let now = traffic.shared.clock.now();
    let is_ended_early = response.reason == Reason::DeadlinePassed && now < call.deadline;
    if is_ended_early && response.outcome == Outcome::NotRun {
        // The end of this node was the limit, so another node may still serve the caller.
        let refusal = NodeResponse::refusal(Reason::Leaving);
        (response.reason, response.status) = (refusal.reason, refusal.status);
    }
    let step =
        Step::new(now, Stage::Answer, response.reason, call.attempt).with_outcome(response.outcome);
    traffic.shared.host().trace(&call.id, step);
    response
}

/// Reports the end of a try to the router exactly once, even if the task is dropped because the
/// caller disconnected.
struct RouteGuard<'a> {
    traffic: &'a TrafficContext,
    call: &'a Call,
    route: &'a Route,
    started: Timestamp,
    /// Charge for the link between regions; `None` if the try does not use it.
    link_charge: Option<LinkCharge>,
    finished: bool,
}

impl RouteGuard<'_> {
    fn finished_try(
        &self,
        now: Timestamp,
        result: TryResult,
        load_level: Option<LoadLevel>,
    ) -> FinishedTry<'_> {
        let elapsed = now.since(self.started);
        FinishedTry { class: &self.call.class.name, result, elapsed, load_level }
    }

    fn finish(&mut self, result: TryResult, response: &NodeResponse) {
        let now = self.traffic.shared.clock.now();
        let mut host = self.traffic.shared.host();
        let finished = self.finished_try(now, result, response.load_level.clone());
        host.record_try_finished(now, &self.call.service, &self.route.host.host, &finished);
        host.record_shedding_levels(now, self.call, response);
        host.record_status(now, self.started, &self.route.host.host, response);
        if response.reason == Reason::BudgetSpent {
            host.record_budget_spent(now, &self.call.service, self.call.class.rank);
        }
        if let Some(charge) = self.link_charge {
            let responded = response.reason != Reason::Unreachable;
            let bytes = if responded { response.body.len() as u64 + HEAD_BYTES } else { 0 };
            host.settle_link(now, charge, bytes);
        }
        self.finished = true;
    }
}

/// Bytes charged to the link budget for the head of a request or of a response.
const HEAD_BYTES: u64 = 300;

impl Drop for RouteGuard<'_> {
    fn drop(&mut self) {
        if !self.finished {
            let now: Timestamp = self.traffic.shared.clock.now();
            let mut host = self.traffic.shared.host();
            let name = &self.route.host.host;
            // A cancelled try is no evidence of a failure of the host.
            host.record_try_finished(
                now,
                &self.call.service,
                name,
                &self.finished_try(now, TryResult::Refused, None),
            );
        }
    }
}
