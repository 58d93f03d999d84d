//! The entry: chooses a host for each try and decides on retries.

use std::sync::Arc;
use std::time::Duration;

use snipehollow_core::admission::LoadLevel;
use snipehollow_core::class::Repeat;
use snipehollow_core::ids::HostName;
use snipehollow_core::invariant;
use snipehollow_core::outcome::Outcome;
use snipehollow_core::reason::Reason;
use snipehollow_core::retry::{Allowance, RetryState};
use snipehollow_core::routing::{Distance, FinishedTry, Route, RouteQuery, TryResult};
use snipehollow_core::time::Timestamp;
use snipehollow_core::trace::{Stage, Step};

use super::{Answer, Call, Traffic, gate, peer_client};
use crate::logging::decisions::{self, RouteBasis};

/// Least time that must be left for a retry.
const MIN_TIME_FOR_RETRY: Duration = Duration::from_millis(2);
/// Longest time to wait for the first host of a service.
const MAX_HOST_WAIT: Duration = Duration::from_millis(400);
const HOST_WAIT_STEP: Duration = Duration::from_millis(40);
/// Most hosts that one request is offered to, those included that refuse it.
const MAX_HOSTS: usize = 4;
/// Most times that a request may be in flight at an upstream that dies.
const MAX_DEATHS: u16 = 2;

/// Runs a call: tries until an answer, or until no retry is allowed.
pub(crate) async fn run(traffic: &Traffic, call: &Arc<Call>, retries: &mut RetryState) -> Answer {
    let started = traffic.shared.clock.now();
    if let Some(answer) = shed(traffic, call, started) {
        return answer.with_unspent(retries.unspent());
    }
    let total = retries.unspent();
    let mut progress =
        Progress { outcome: Outcome::NotRun, tried: Vec::new(), deaths: 0, host_is_gone: false };
    let mut time_in_tries = Duration::ZERO;
    let mut call = Arc::clone(call);
    loop {
        let route = match choose_or_wait(traffic, &call, &progress).await {
            Ok(route) => route,
            Err(reason) => {
                break finish(traffic, &call, retries, &progress, Answer::refusal(reason));
            }
        };
        let before = traffic.shared.clock.now();
        log_route(traffic, &call, &route, before);
        let answer = try_once(traffic, &call, retries, &route).await;
        time_in_tries += traffic.shared.clock.now().since(before);
        progress.note(&route.host.host, &answer);
        invariant!(retries.spent() <= total.0, "{} retries of {}", retries.spent(), total.0);
        if needs_new_ticket(&call, &answer) {
            // The old ticket will never be run, so another host may issue one; that is no
            // retry, for nothing is run.
            call = without_ticket(&call);
            continue;
        }
        if answer.is_upstreams() || !may_retry(traffic, &call, retries, &progress, &answer) {
            let all = traffic.shared.clock.now().since(started);
            traffic.shared.metrics.added_latency(all.saturating_sub(time_in_tries).as_secs_f64());
            break finish(traffic, &call, retries, &progress, answer);
        }
        traffic.shared.metrics.retry(&call.class.name);
        call = next_try(&call, &progress, answer.reason);
    }
}

/// Sheds a request whose call tree reaches an overloaded service, before it costs anything.
fn shed(traffic: &Traffic, call: &Call, now: Timestamp) -> Option<Answer> {
    let mut host = traffic.shared.host();
    host.record_call_arrival(now, call);
    let level = host.shed(now, &call.class)?;
    let step = Step::new(now, Stage::Answer, Reason::TreeOverloaded, call.attempt);
    host.trace(&call.id, step.with_outcome(Outcome::NotRun));
    drop(host);
    decisions::shed(call, level);
    Some(Answer::refusal(Reason::TreeOverloaded))
}

fn log_route(traffic: &Traffic, call: &Call, route: &Route, now: Timestamp) {
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
    decisions::routed(call, route, &basis);
}

struct Progress {
    /// Greatest outcome of the tries so far.
    outcome: Outcome,
    tried: Vec<HostName>,
    deaths: u16,
    /// Whether the last try found nobody at its host.
    host_is_gone: bool,
}

impl Progress {
    fn note(&mut self, host: &HostName, answer: &Answer) {
        self.outcome = self.outcome.combine(answer.outcome);
        self.tried.push(host.clone());
        self.host_is_gone = matches!(answer.reason, Reason::Unreachable | Reason::NoUpstream);
        self.deaths += u16::from(answer.reason == Reason::UpstreamDied);
    }
}

/// Chooses a host; waits a little if none is known yet, or none but those that are gone, as
/// when a service is called for the first time and its hosts in other zones are asked for.
async fn choose_or_wait(
    traffic: &Traffic,
    call: &Call,
    progress: &Progress,
) -> Result<Route, Reason> {
    let mut waited = Duration::ZERO;
    loop {
        let chosen = choose(traffic, call, &progress.tried);
        let left = call.deadline.since(traffic.shared.clock.now());
        let may_wait = waited < MAX_HOST_WAIT && left > HOST_WAIT_STEP * 2;
        let needs_host = match &chosen {
            Ok(route) => progress.host_is_gone && progress.tried.contains(&route.host.host),
            Err(reason) => *reason == Reason::NoHost,
        };
        if !needs_host || !may_wait {
            return chosen;
        }
        tokio::time::sleep(HOST_WAIT_STEP).await;
        waited += HOST_WAIT_STEP;
    }
}

/// Chooses a host; a ticket binds the request to the one that issued it.
fn choose(traffic: &Traffic, call: &Call, tried: &[HostName]) -> Result<Route, Reason> {
    let now = traffic.shared.clock.now();
    let snapshot = traffic.shared.snapshot.load_full();
    let mut host = traffic.shared.host();
    host.record_called_service(&call.service);
    let chosen = match &call.ticket {
        Some(ticket) => {
            let router = host.router(now, &snapshot);
            let bound = router.find(&call.service, &ticket.host).cloned();
            bound.map(|host| Route { distance: router.distance(&host), host }).ok_or(Reason::NoHost)
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
    traffic: &Traffic,
    call: &Arc<Call>,
    retries: &mut RetryState,
    route: &Route,
) -> Answer {
    let name = &route.host.host;
    let granted = retries.grant();
    traffic.shared.host().record_try_sent(name);
    let mut guard =
        RouteGuard { traffic, call, route, started: traffic.shared.clock.now(), done: false };
    let answer = if *name == traffic.shared.settings.host {
        gate::run(traffic, call, granted).await
    } else {
        peer_client::run(traffic, call, granted, route).await
    };
    guard.finish(result_of(&answer), &answer);
    retries.return_unspent(granted, answer.unspent);
    answer
}

/// Tells how a try speaks of its host's health.
fn result_of(answer: &Answer) -> TryResult {
    match answer.reason {
        Reason::Completed if answer.status.is_server_error() => TryResult::Failed,
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
    traffic: &Traffic,
    call: &Call,
    retries: &mut RetryState,
    progress: &Progress,
    answer: &Answer,
) -> bool {
    let now = traffic.shared.clock.now();
    let in_time = call.deadline.since(now) >= MIN_TIME_FOR_RETRY;
    if !in_time || !is_worth_retrying(call, answer) || progress.deaths >= MAX_DEATHS {
        return false;
    }
    if !answer.reason.may_have_reached_upstream() {
        // No upstream saw the request, so another host costs neither allowance nor budget.
        return progress.tried.len() < MAX_HOSTS;
    }
    let refusal = if retries.unspent() == Allowance(0) {
        Some(Reason::AllowanceSpent)
    } else if traffic.shared.host().is_budget_spent(now, &call.service, call.class.rank) {
        Some(Reason::BudgetSpent)
    } else {
        None
    };
    let reason = refusal.unwrap_or(answer.reason);
    let step = Step::new(now, Stage::Retry, reason, call.attempt).with_outcome(answer.outcome);
    traffic.shared.host().trace(&call.id, step);
    refusal.is_none() && retries.spend()
}

/// Tells whether the host of a ticket gave it up before it was used.
fn needs_new_ticket(call: &Call, answer: &Answer) -> bool {
    let given_up =
        matches!(answer.reason, Reason::Leaving | Reason::NoUpstream | Reason::TicketVoid);
    call.ticket.is_some() && given_up && answer.outcome == Outcome::NotRun
}

fn without_ticket(call: &Call) -> Arc<Call> {
    let mut next = call.clone();
    next.ticket = None;
    next.attempt += 1;
    Arc::new(next)
}

/// Tells whether another try could do better and could do no harm.
fn is_worth_retrying(call: &Call, answer: &Answer) -> bool {
    if call.ticket.is_some() {
        // Only the host that issued the ticket may run it, and it has answered.
        return false;
    }
    match answer.reason {
        Reason::QueueFull
        | Reason::Evicted
        | Reason::PredictedLate
        | Reason::Leaving
        | Reason::NoUpstream
        | Reason::SuspectBusy
        | Reason::Unreachable
        | Reason::UpstreamRefused
        | Reason::AnswerCut
        | Reason::ForeignAnswer
        | Reason::UpstreamDied => answer.outcome == Outcome::NotRun || is_idempotent(call),
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
    next.suspect = progress.deaths > 0;
    Arc::new(next)
}

/// Completes the final answer: a refusal says `not-run` only if no try may have run.
fn finish(
    traffic: &Traffic,
    call: &Call,
    retries: &RetryState,
    progress: &Progress,
    mut answer: Answer,
) -> Answer {
    if !answer.is_upstreams() {
        answer.outcome = answer.outcome.combine(progress.outcome);
        let host_is_gone = matches!(answer.reason, Reason::Unreachable | Reason::NoHost);
        if call.ticket.is_some() && host_is_gone {
            // An earlier use of the ticket may have run at the host that is out of reach.
            answer.outcome = answer.outcome.combine(Outcome::Unknown);
        }
    }
    answer.unspent = retries.unspent();
    answer.tries = progress.tried.len() as u16;
    let now = traffic.shared.clock.now();
    let step =
        Step::new(now, Stage::Answer, answer.reason, call.attempt).with_outcome(answer.outcome);
    traffic.shared.host().trace(&call.id, step);
    answer
}

/// Ends a try at its host exactly once, also when the caller left.
struct RouteGuard<'a> {
    traffic: &'a Traffic,
    call: &'a Call,
    route: &'a Route,
    started: Timestamp,
    done: bool,
}

impl RouteGuard<'_> {
    fn end(&self, now: Timestamp, result: TryResult, level: Option<LoadLevel>) -> FinishedTry<'_> {
        let elapsed = now.since(self.started);
        FinishedTry { class: &self.call.class.name, result, elapsed, level }
    }

    fn finish(&mut self, result: TryResult, answer: &Answer) {
        let now = self.traffic.shared.clock.now();
        let mut host = self.traffic.shared.host();
        let end = self.end(now, result, answer.level.clone());
        host.record_try_finished(now, &self.call.service, &self.route.host.host, &end);
        host.record_shedding_levels(now, self.call, answer);
        if answer.reason == Reason::BudgetSpent {
            host.record_budget_spent(now, &self.call.service, self.call.class.rank);
        }
        if self.route.distance == Distance::Remote {
            let bytes = (self.call.body.len() + answer.body.len()) as u64 + HEADS_BYTES;
            host.charge_link(now, bytes);
        }
        self.done = true;
    }
}

/// Bytes charged to the link for the heads of a request and its answer.
const HEADS_BYTES: u64 = 600;

impl Drop for RouteGuard<'_> {
    fn drop(&mut self) {
        if !self.done {
            let now: Timestamp = self.traffic.shared.clock.now();
            let mut host = self.traffic.shared.host();
            let name = &self.route.host.host;
            host.record_try_finished(
                now,
                &self.call.service,
                name,
                &self.end(now, TryResult::Refused, None),
            );
        }
    }
}
