//! State of the local gate and of this node as entry node.

use std::sync::Arc;
use std::time::Duration;

use snipehollow_config::model::Route;
use snipehollow_config::settings::{AdmissionMode, NodeSettings};
use snipehollow_core::admission::GateConfig;
use snipehollow_core::class::Rank;
use snipehollow_core::collections::{FastMap, FastSet};
use snipehollow_core::ids::{ClassName, HostName, RequestId, ServiceName, TryId};
use snipehollow_core::membership::{Departures, RecordedDeparture, UpstreamState};
use snipehollow_core::quarantine::{
    Quarantine, QuarantineChanges, QuarantineCursor, QuarantineEntry,
};
use snipehollow_core::retry::{ActiveRuns, AllowanceTable, RetryBudget};
use snipehollow_core::rng::Rng;
use snipehollow_core::routing::{
    FinishedTry, LinkBudget, LinkCharge, Router, RouterConfig, UpstreamStatuses, WeightedChoice,
};
use snipehollow_core::ticket::{ProcessStartId, TicketConfig, TicketKey, TicketTable};
use snipehollow_core::time::Timestamp;
use snipehollow_core::trace::{Step, TraceBuffer};
use snipehollow_wire::admin::{Announcement, GateState, RouteState};
use tokio::sync::watch;

use super::announcements::EarlierDepartures;
use super::caller_retries::CallerRetryTable;
use super::contexts::{ContextTable, ParentCall};
use super::shedding::SheddingTable;
use super::tickets::TicketedRunResult;
use super::tries::WaitingTry;
use super::upstream::LocalUpstream;
use crate::snapshot::Snapshot;
use crate::traffic::NodeResponse;

/// How long an entry about a suspected or quarantined request is kept.
const QUARANTINE_RETENTION: Duration = Duration::from_secs(3_600);
/// Maximum number of requests whose decisions are kept for `explain`.
const MAX_TRACED_REQUESTS: usize = 4_096;
/// Share of the announced slots that a fixed limit uses in admission mode `slots`, where the
/// announced number is exact. Upstreams slow down by up to a third when the last slots fill.
const USABLE_SLOT_SHARE: f64 = 0.95;
/// Maximum number of services whose spent retry budgets are recorded; beyond it, all are dropped.
const MAX_SPENT_BUDGETS: usize = 4_096;
/// How long retries are withheld from a service after one of its gates refused a retry because its
/// retry budget was spent. A busy gate earns a few retries in this time.
const SPENT_BUDGET_RETENTION: Duration = Duration::from_millis(100);
/// Maximum number of routes with several targets whose weighted choice is tracked; beyond it, all
/// are dropped.
const MAX_TARGET_CHOICES: usize = 4_096;

/// Refusal of a retry by a gate whose retry budget was spent.
#[derive(Clone, Copy, Debug)]
struct SpentBudget {
    /// Rank of the refused retry; equally and less urgent retries are withheld.
    rank: Rank,
    /// End of the time for which retries are withheld.
    until: Timestamp,
}

/// State of the local gate and of this node as entry node.
pub(crate) struct HostState {
    pub(super) admission_mode: AdmissionMode,
    pub(super) gate_config: GateConfig,
    /// Upstream on this host; `None` until it is announced or discovered, and after its death.
    pub(super) upstream: Option<LocalUpstream>,
    /// Whether the host admits no new tries, for a drain or a planned stop.
    pub(super) admission_stopped: bool,
    pub(super) last_try_id: u64,
    /// Tries that wait for the gate's decision.
    pub(super) waiting_tries: FastMap<TryId, WaitingTry>,
    pub(super) quarantine: Quarantine,
    /// Changed quarantine entries that have not been sent to other nodes yet.
    pub(super) quarantine_changes: Vec<(ServiceName, QuarantineEntry)>,
    pub(super) tickets: TicketTable<Arc<NodeResponse>>,
    /// Responses of ticketed runs in progress, by ticket serial.
    pub(super) ticket_runs: FastMap<u64, watch::Receiver<TicketedRunResult>>,
    /// Retry allowances of the tries in progress, which delegate parts to their nested calls.
    pub(super) allowances: AllowanceTable<TryId>,
    pub(super) contexts: ContextTable,
    /// Number of tries in flight in admission mode `pass-through`, which bypasses the gate.
    pub(super) pass_through_in_flight: u32,
    /// Tries that the upstream is running, with the probability that each is repeated work.
    pub(super) active_runs: ActiveRuns<TryId>,
    /// Whether a task is waiting to dispatch tries that the upstream's rate limit holds back.
    pub(super) dispatch_scheduled: bool,
    /// Retry budget of the local gate.
    pub(super) retry_budget: RetryBudget,
    pub(super) shedding: SheddingTable,
    /// Upstreams that announced their departure recently.
    pub(super) departures: Departures,
    /// What is known of the departures that were acknowledged before this process started.
    pub(super) earlier_departures: EarlierDepartures,
    /// Newest announcement that waits for them.
    pub(super) held_announcement: Option<Announcement>,
    /// Departures that have to be saved for the time after a restart.
    pub(super) unsaved_departures: Vec<RecordedDeparture>,
    router: Router,
    /// What upstreams said about themselves, by host.
    pub(super) upstream_statuses: UpstreamStatuses,
    spent_budgets: FastMap<ServiceName, SpentBudget>,
    caller_retries: CallerRetryTable,
    /// Weighted choices among the targets of a route, by the route's class.
    target_choices: FastMap<ClassName, WeightedChoice>,
    traces: TraceBuffer,
    rng: Rng,
    snapshot: Option<Arc<Snapshot>>,
    /// Services called since the last tick of the control thread.
    called_services: FastSet<ServiceName>,
}

impl HostState {
    pub(crate) fn new(
        settings: &NodeSettings,
        process_start: ProcessStartId,
        ticket_key: TicketKey,
        seed: u64,
    ) -> HostState {
        let link = LinkBudget::new(settings.link_bytes_per_second as f64, Timestamp::ZERO);
        let router_config = RouterConfig::new(settings.zone.clone(), settings.region.clone());
        let gate_config =
            GateConfig::new().with_adaptive(settings.admission == AdmissionMode::Full);
        let gate_config = match settings.admission {
            AdmissionMode::Slots => gate_config.with_slot_share(USABLE_SLOT_SHARE),
            _ => gate_config,
        };
        let context_key = blake3::derive_key("snipehollow context", &seed.to_le_bytes());
        HostState {
            admission_mode: settings.admission,
            gate_config,
            upstream: None,
            admission_stopped: false,
            last_try_id: 0,
            waiting_tries: FastMap::default(),
            quarantine: Quarantine::new(QUARANTINE_RETENTION).with_source(process_start.0),
            quarantine_changes: Vec::new(),
            tickets: TicketTable::new(
                TicketConfig::new(),
                settings.host.clone(),
                process_start,
                ticket_key,
            ),
            ticket_runs: FastMap::default(),
            allowances: AllowanceTable::new(),
            contexts: ContextTable::new(context_key),
            pass_through_in_flight: 0,
            active_runs: ActiveRuns::new(),
            dispatch_scheduled: false,
            retry_budget: RetryBudget::new(),
            shedding: SheddingTable::default(),
            departures: Departures::default(),
            earlier_departures: EarlierDepartures::Known,
            held_announcement: None,
            unsaved_departures: Vec::new(),
            router: Router::new(router_config, link),
            upstream_statuses: UpstreamStatuses::default(),
            spent_budgets: FastMap::default(),
            caller_retries: CallerRetryTable::default(),
            target_choices: FastMap::default(),
            traces: TraceBuffer::new(MAX_TRACED_REQUESTS),
            rng: Rng::new(seed),
            snapshot: None,
            called_services: FastSet::default(),
        }
    }

    /// Returns the router, after updating its hosts and link rate from the snapshot.
    pub(crate) fn router(&mut self, now: Timestamp, snapshot: &Arc<Snapshot>) -> &mut Router {
        let current = self.snapshot.as_ref().is_some_and(|known| Arc::ptr_eq(known, snapshot));
        if !current {
            self.router.set_hosts(now, snapshot.hosts.clone());
            self.router.link_mut().set_rate(now, snapshot.link_bytes_per_second);
            self.snapshot = Some(Arc::clone(snapshot));
        }
        &mut self.router
    }

    /// Returns the updated router together with the random number generator for its choices.
    pub(crate) fn router_and_rng(
        &mut self,
        now: Timestamp,
        snapshot: &Arc<Snapshot>,
    ) -> (&mut Router, &mut Rng) {
        self.router(now, snapshot);
        (&mut self.router, &mut self.rng)
    }

    /// Chooses the service that a request on a route is sent to.
    ///
    /// Returns `None` if no target has a weight above 0.
    pub(crate) fn choose_target(&mut self, route: &Route) -> Option<ServiceName> {
        if let [only] = route.targets.as_slice() {
            return Some(only.service.clone());
        }
        if self.target_choices.len() >= MAX_TARGET_CHOICES
            && !self.target_choices.contains_key(&route.policy.name)
        {
            self.target_choices.clear();
        }
        let weights: Vec<u32> = route.targets.iter().map(|target| target.weight).collect();
        let offset = self.rng.next_u64();
        let choice = self
            .target_choices
            .entry(route.policy.name.clone())
            .or_insert_with(|| WeightedChoice::starting_at(&weights, offset));
        let chosen = choice.next(&weights)?;
        Some(route.targets[chosen].service.clone())
    }

    /// Records a call of a service, so that the directory pulls its hosts from other zones.
    pub(crate) fn record_called_service(&mut self, service: &ServiceName) {
        if !self.called_services.contains(service) {
            self.called_services.insert(service.clone());
        }
    }

    /// Returns the services called since the previous call, and clears them.
    pub(crate) fn take_called_services(&mut self) -> FastSet<ServiceName> {
        std::mem::take(&mut self.called_services)
    }

    /// Records that the entry node sent a try to a host.
    pub(crate) fn record_try_sent(&mut self, host: &HostName) {
        self.router.start_try(host);
    }

    /// Records that a try which the entry node sent to a host has finished.
    pub(crate) fn record_try_finished(
        &mut self,
        now: Timestamp,
        service: &ServiceName,
        host: &HostName,
        finished: &FinishedTry<'_>,
    ) {
        self.router.finish_try(now, service, host, finished);
    }

    /// Charges a request to the bandwidth budget of the link between regions.
    pub(crate) fn charge_link(&mut self, now: Timestamp, request_bytes: u64) -> LinkCharge {
        self.router.link_mut().charge(now, request_bytes)
    }

    /// Settles the charge of a try that has ended with the size of the response.
    pub(crate) fn settle_link(&mut self, now: Timestamp, charge: LinkCharge, response_bytes: u64) {
        self.router.link_mut().settle(now, charge, response_bytes);
    }

    /// Returns true with the given probability.
    pub(super) fn rng_chance(&mut self, probability: f64) -> bool {
        self.rng.chance(probability)
    }

    /// Returns a random number, for jitter and request ids.
    pub(crate) fn random(&mut self) -> u64 {
        self.rng.next_u64()
    }

    /// Records that a gate of a service refused a retry because its retry budget was spent.
    pub(crate) fn record_budget_spent(
        &mut self,
        now: Timestamp,
        service: &ServiceName,
        rank: Rank,
    ) {
        if self.spent_budgets.len() >= MAX_SPENT_BUDGETS
            && !self.spent_budgets.contains_key(service)
        {
            self.spent_budgets.clear();
        }
        let spent = SpentBudget { rank, until: now + SPENT_BUDGET_RETENTION };
        self.spent_budgets.insert(service.clone(), spent);
    }

    /// Returns whether a gate of the service would likely refuse a retry of this rank because its
    /// retry budget is spent.
    pub(crate) fn is_budget_spent(
        &self,
        now: Timestamp,
        service: &ServiceName,
        rank: Rank,
    ) -> bool {
        let spent = self.spent_budgets.get(service);
        spent.is_some_and(|spent| now < spent.until && rank >= spent.rank)
    }

    /// Returns the probability that a call of a class which arrives from the local upstream now is
    /// repeated work.
    pub(crate) fn repeat_share(&self, call: &ClassName) -> f64 {
        self.active_runs.repeat_share(|run| self.shedding.may_call(run, call))
    }

    /// Records the request id that a caller chose, and returns the number of earlier requests with
    /// it.
    pub(crate) fn record_request_id(&mut self, id: &RequestId) -> u16 {
        self.caller_retries.record(id)
    }

    /// Records a step of a request for `explain`.
    pub(crate) fn trace(&mut self, id: &RequestId, step: Step) {
        self.traces.add(id, step);
    }

    /// Returns the recorded steps of a request, empty if none are kept.
    pub(crate) fn explain(&self, id: &RequestId) -> Vec<Step> {
        self.traces.get(id).to_vec()
    }

    /// Returns the number of requests whose decisions are kept.
    pub(crate) fn traced_requests(&self) -> usize {
        self.traces.len()
    }

    /// Returns the total size of the responses stored for tickets, in bytes.
    pub(crate) fn ticket_response_bytes(&self) -> usize {
        self.tickets.stored_bytes()
    }

    /// Returns the try that a nested call with this context token is made for; `None` if it has
    /// ended.
    pub(crate) fn find_parent(&self, context: &str) -> Option<ParentCall> {
        self.contexts.find(context).cloned()
    }

    /// Stops admitting tries and refuses the waiting ones; tries in flight may finish.
    pub(crate) fn stop_admission(&mut self) {
        self.admission_stopped = true;
        if let Some(upstream) = &mut self.upstream {
            let actions = upstream.gate.mark_leaving();
            self.execute_gate_actions(actions);
        }
    }

    /// Admits tries again after a planned stop.
    pub(crate) fn resume_admission(&mut self) {
        self.admission_stopped = false;
        if let Some(upstream) = &mut self.upstream
            && upstream.info.state != UpstreamState::Leaving
        {
            upstream.gate.resume();
        }
    }

    /// Returns whether the host admits no new tries.
    pub(crate) fn is_admission_stopped(&self) -> bool {
        self.admission_stopped
    }

    /// Removes what has expired: quarantine entries, waiting tries past their deadline, and an
    /// upstream whose announcement was not renewed. Also updates the shedding level.
    pub(crate) fn tick(&mut self, now: Timestamp) {
        self.quarantine.expire(now);
        self.expire_hold(now);
        let gate = self.upstream.as_ref().map(|upstream| &upstream.gate);
        let (slots, wait) =
            gate.map_or((1, Duration::ZERO), |gate| (gate.capacity(), gate.expected_wait()));
        self.shedding.tick(now, slots, wait);
        let Some(upstream) = &mut self.upstream else {
            return;
        };
        let actions = upstream.gate.tick(now);
        let expired = upstream.expires <= now;
        self.execute_gate_actions(actions);
        if expired {
            log::warn!("announcement of the upstream expired");
            self.remove_upstream(now);
        }
    }

    /// Returns the number of tries that are in flight or waiting at the gate.
    pub(crate) fn in_progress(&self) -> usize {
        let gate = self.upstream.as_ref().map(|up| up.gate.in_flight() + up.gate.queued());
        gate.unwrap_or(0) + self.pass_through_in_flight as usize
    }

    /// Returns the state of the gate for `/state`; `None` if there is no upstream.
    pub(crate) fn gate_state(&self) -> Option<GateState> {
        let upstream = self.upstream.as_ref()?;
        Some(GateState {
            service: upstream.info.service.clone(),
            slots: upstream.info.slots,
            limit: upstream.gate.limit(),
            in_flight: upstream.gate.in_flight() as u32,
            queued: upstream.gate.queued() as u32,
            rate_limit_milli: upstream.gate.rate_limit().map(|limit| (limit * 1_000.0) as u64),
            leaving: upstream.gate.is_leaving(),
            demand_milli: (self.shedding.demand() * 1_000.0) as u32,
            level_milli: (self.shedding.own_level() * 1_000.0) as u32,
            saved_retries_milli: (self.retry_budget.balance() * 1_000.0) as i32,
        })
    }

    /// Returns the known hosts of all services for `/state`, sorted by service and host.
    pub(crate) fn routes(&self, now: Timestamp) -> Vec<RouteState> {
        let Some(snapshot) = &self.snapshot else {
            return Vec::new();
        };
        let mut routes: Vec<RouteState> = Vec::new();
        for (service, hosts) in &snapshot.hosts {
            for candidate in hosts {
                let stats = self.router.stats(&candidate.host);
                routes.push(RouteState {
                    service: service.clone(),
                    host: candidate.host.clone(),
                    zone: candidate.zone.clone(),
                    in_flight: stats.map_or(0, |stats| stats.in_flight()),
                    ejected: stats.is_some_and(|stats| stats.is_ejected(now)),
                });
            }
        }
        routes.sort_by(|a, b| (&a.service, &a.host).cmp(&(&b.service, &b.host)));
        routes
    }

    /// Returns the entries that are suspected or quarantined.
    pub(crate) fn quarantine_list(&self, now: Timestamp) -> Vec<QuarantineEntry> {
        self.quarantine.list(now)
    }

    /// Returns the changes of the quarantine for another zone; see [`Quarantine::changes_since`].
    pub(crate) fn quarantine_changes_since(
        &self,
        now: Timestamp,
        known: Option<&QuarantineCursor>,
        max: usize,
    ) -> QuarantineChanges {
        self.quarantine.changes_since(now, known, max)
    }

    /// Merges a quarantine entry from another node; returns whether the local state changed.
    pub(crate) fn merge_quarantine(&mut self, now: Timestamp, entry: &QuarantineEntry) -> bool {
        self.quarantine.merge(now, entry)
    }

    /// Lifts the quarantine or suspicion of a fingerprint at an operator's request.
    ///
    /// Returns false if there was no entry.
    pub(crate) fn lift_quarantine(
        &mut self,
        now: Timestamp,
        service: &ServiceName,
        fingerprint: snipehollow_core::ids::Fingerprint,
    ) -> bool {
        let Some(entry) = self.quarantine.lift(now, fingerprint) else {
            return false;
        };
        self.quarantine_changes.push((service.clone(), entry));
        true
    }

    /// Returns the changed quarantine entries that have to be sent to other nodes, and clears them.
    pub(crate) fn take_quarantine_changes(&mut self) -> Vec<(ServiceName, QuarantineEntry)> {
        std::mem::take(&mut self.quarantine_changes)
    }
}
