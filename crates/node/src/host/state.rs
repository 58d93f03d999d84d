//! State of the host's gate and entry.

use std::sync::Arc;
use std::time::Duration;

use snipehollow_config::model::Route;
use snipehollow_config::settings::{AdmissionMode, NodeSettings};
use snipehollow_core::admission::GateConfig;
use snipehollow_core::class::Rank;
use snipehollow_core::collections::{FastMap, FastSet};
use snipehollow_core::ids::{ClassName, HostName, InstanceId, RequestId, ServiceName, TryId};
use snipehollow_core::membership::{Departures, UpstreamInfo, UpstreamState};
use snipehollow_core::quarantine::{Quarantine, QuarantineEntry};
use snipehollow_core::retry::{ActiveRuns, AllowanceTable, RetryBudget};
use snipehollow_core::rng::Rng;
use snipehollow_core::routing::{FinishedTry, LinkBudget, Router, RouterConfig, WeightedChoice};
use snipehollow_core::ticket::{ProcessStartId, TicketConfig, TicketKey, TicketTable};
use snipehollow_core::time::Timestamp;
use snipehollow_core::trace::{Step, TraceBuffer};
use snipehollow_wire::admin::{Announcement, GateState, RouteState};
use tokio::sync::{oneshot, watch};

use super::caller_retries::CallerRetryTable;
use super::contexts::{ContextTable, ParentCall};
use super::shedding::SheddingTable;
use super::tickets::TicketedRunResult;
use super::tries::GateDecision;
use super::upstream::{LocalUpstream, usable_slots};
use crate::clock::unix_millis;
use crate::logging::decisions;
use crate::snapshot::Snapshot;
use crate::traffic::Answer;

/// Time for which a suspected or quarantined request is remembered.
const QUARANTINE_RETENTION: Duration = Duration::from_secs(3_600);
/// Requests whose decisions are kept for `explain`.
const TRACED_REQUESTS: usize = 4_096;
/// Share of the announced slots that are used where they are exact: upstreams slow down by
/// up to a third when the last ones fill.
const USED_SLOTS: f64 = 0.95;
/// Most services whose spent retry budgets are kept.
const MAX_BUDGETS: usize = 4_096;
/// Time for which a retry that a gate refused keeps others from being sent: in it a busy gate
/// earns a few.
const BUDGET_SPENT_FOR: Duration = Duration::from_millis(100);
/// Most routes with several targets whose shares are tracked.
const MAX_CHOICES: usize = 4_096;

/// A retry budget that was found spent.
#[derive(Clone, Copy, Debug)]
struct SpentBudget {
    /// Most urgent rank that was refused last.
    rank: Rank,
    until: Timestamp,
}

/// State of the host's gate and entry.
pub(crate) struct HostState {
    pub(super) mode: AdmissionMode,
    pub(super) gate_cfg: GateConfig,
    pub(super) upstream: Option<LocalUpstream>,
    pub(super) stopped: bool,
    pub(super) next_try: u64,
    pub(super) waiters: FastMap<TryId, oneshot::Sender<GateDecision>>,
    pub(super) quarantine: Quarantine,
    pub(super) quarantine_changes: Vec<(ServiceName, QuarantineEntry)>,
    pub(super) tickets: TicketTable<Arc<Answer>>,
    pub(super) ticket_runs: FastMap<u64, watch::Receiver<TicketedRunResult>>,
    pub(super) ledger: AllowanceTable<TryId>,
    pub(super) contexts: ContextTable,
    pub(super) pass_through_running: u32,
    pub(super) runs: ActiveRuns<TryId>,
    /// Repeats that the upstream may still get.
    pub(super) budget: RetryBudget,
    pub(super) shedding: SheddingTable,
    departures: Departures,
    router: Router,
    spent_budgets: FastMap<ServiceName, SpentBudget>,
    repeats: CallerRetryTable,
    choices: FastMap<ClassName, WeightedChoice>,
    traces: TraceBuffer,
    rng: Rng,
    snapshot: Option<Arc<Snapshot>>,
    wanted: FastSet<ServiceName>,
}

impl HostState {
    pub(crate) fn new(
        settings: &NodeSettings,
        start: ProcessStartId,
        key: TicketKey,
        seed: u64,
    ) -> HostState {
        let link = LinkBudget::new(settings.link_bytes_per_second as f64, Timestamp::ZERO);
        let place = RouterConfig::new(settings.zone.clone(), settings.region.clone());
        let gate_cfg = GateConfig::new().with_adaptive(settings.admission == AdmissionMode::Full);
        let gate_cfg = match settings.admission {
            AdmissionMode::Slots => gate_cfg.with_slot_share(USED_SLOTS),
            _ => gate_cfg,
        };
        let context_key = blake3::derive_key("snipehollow context", &seed.to_le_bytes());
        HostState {
            mode: settings.admission,
            gate_cfg,
            upstream: None,
            stopped: false,
            next_try: 0,
            waiters: FastMap::default(),
            quarantine: Quarantine::new(QUARANTINE_RETENTION),
            quarantine_changes: Vec::new(),
            tickets: TicketTable::new(TicketConfig::new(), settings.host.clone(), start, key),
            ticket_runs: FastMap::default(),
            ledger: AllowanceTable::new(),
            contexts: ContextTable::new(context_key),
            pass_through_running: 0,
            runs: ActiveRuns::new(),
            budget: RetryBudget::new(),
            shedding: SheddingTable::default(),
            departures: Departures::default(),
            router: Router::new(place, link),
            spent_budgets: FastMap::default(),
            repeats: CallerRetryTable::default(),
            choices: FastMap::default(),
            traces: TraceBuffer::new(TRACED_REQUESTS),
            rng: Rng::new(seed),
            snapshot: None,
            wanted: FastSet::default(),
        }
    }

    /// Returns the router, with the hosts of the newest snapshot.
    pub(crate) fn router(&mut self, now: Timestamp, snapshot: &Arc<Snapshot>) -> &mut Router {
        let current = self.snapshot.as_ref().is_some_and(|known| Arc::ptr_eq(known, snapshot));
        if !current {
            self.router.set_hosts(snapshot.hosts.clone());
            self.router.link_mut().set_rate(now, snapshot.link_bytes_per_second);
            self.snapshot = Some(Arc::clone(snapshot));
        }
        &mut self.router
    }

    /// Returns the router and the random numbers for its choices.
    pub(crate) fn router_and_rng(
        &mut self,
        now: Timestamp,
        snapshot: &Arc<Snapshot>,
    ) -> (&mut Router, &mut Rng) {
        self.router(now, snapshot);
        (&mut self.router, &mut self.rng)
    }

    /// Chooses the service of a route's next request; `None` if no target has a weight.
    pub(crate) fn choose_target(&mut self, route: &Route) -> Option<ServiceName> {
        if let [only] = route.targets.as_slice() {
            return Some(only.service.clone());
        }
        if self.choices.len() >= MAX_CHOICES && !self.choices.contains_key(&route.policy.name) {
            self.choices.clear();
        }
        let weights: Vec<u32> = route.targets.iter().map(|target| target.weight).collect();
        let offset = self.rng.next_u64();
        let choice = self
            .choices
            .entry(route.policy.name.clone())
            .or_insert_with(|| WeightedChoice::starting_at(&weights, offset));
        let chosen = choice.next(&weights)?;
        Some(route.targets[chosen].service.clone())
    }

    /// Records that a service was called, for the directory of other zones.
    pub(crate) fn record_called_service(&mut self, service: &ServiceName) {
        if !self.wanted.contains(service) {
            self.wanted.insert(service.clone());
        }
    }

    /// Takes the services that were called since the last time.
    pub(crate) fn take_called_services(&mut self) -> FastSet<ServiceName> {
        std::mem::take(&mut self.wanted)
    }

    /// Records that a try was sent to a host.
    pub(crate) fn record_try_sent(&mut self, host: &HostName) {
        self.router.start_try(host);
    }

    /// Records the end of a try at a host.
    pub(crate) fn record_try_finished(
        &mut self,
        now: Timestamp,
        service: &ServiceName,
        host: &HostName,
        end: &FinishedTry<'_>,
    ) {
        self.router.finish_try(now, service, host, end);
    }

    /// Charges bytes that crossed the link between regions.
    pub(crate) fn charge_link(&mut self, now: Timestamp, bytes: u64) {
        self.router.link_mut().charge(now, bytes);
    }

    /// Returns true with the given probability.
    pub(super) fn rng_chance(&mut self, probability: f64) -> bool {
        self.rng.chance(probability)
    }

    /// Returns a random number for jitter and ids.
    pub(crate) fn random(&mut self) -> u64 {
        self.rng.next_u64()
    }

    /// Records that a gate of a service refused a retry of a rank for its budget.
    pub(crate) fn record_budget_spent(
        &mut self,
        now: Timestamp,
        service: &ServiceName,
        rank: Rank,
    ) {
        if self.spent_budgets.len() >= MAX_BUDGETS && !self.spent_budgets.contains_key(service) {
            self.spent_budgets.clear();
        }
        let spent = SpentBudget { rank, until: now + BUDGET_SPENT_FOR };
        self.spent_budgets.insert(service.clone(), spent);
    }

    /// Tells whether a retry of a rank is likely to find the budget of a service spent.
    pub(crate) fn is_budget_spent(
        &self,
        now: Timestamp,
        service: &ServiceName,
        rank: Rank,
    ) -> bool {
        let spent = self.spent_budgets.get(service);
        spent.is_some_and(|spent| now < spent.until && rank >= spent.rank)
    }

    /// Returns the probability that a call of a class which arrives from this host now
    /// repeats work.
    pub(crate) fn repeat_share(&self, call: &ClassName) -> f64 {
        self.runs.repeat_share(|run| self.shedding.may_call(run, call))
    }

    /// Records a request id that a caller chose and returns how often it was seen before.
    pub(crate) fn record_request_id(&mut self, id: &RequestId) -> u16 {
        self.repeats.record(id)
    }

    /// Records a decision for `explain`.
    pub(crate) fn trace(&mut self, id: &RequestId, step: Step) {
        self.traces.add(id, step);
    }

    /// Returns the decisions about a request.
    pub(crate) fn explain(&self, id: &RequestId) -> Vec<Step> {
        self.traces.get(id).to_vec()
    }

    /// Returns the number of requests whose decisions are kept.
    pub(crate) fn traced_requests(&self) -> usize {
        self.traces.len()
    }

    /// Returns the bytes of stored answers of requests that may never repeat.
    pub(crate) fn ticket_response_bytes(&self) -> usize {
        self.tickets.stored_bytes()
    }

    /// Finds the request that a deeper call is made for.
    pub(crate) fn find_parent(&self, context: &str) -> Option<ParentCall> {
        self.contexts.find(context).cloned()
    }

    /// Takes in an announcement of the local upstream and returns what to tell the members.
    pub(crate) fn handle_announcement(
        &mut self,
        now: Timestamp,
        announcement: &Announcement,
    ) -> Option<UpstreamInfo> {
        if self.upstream.as_ref().is_some_and(|up| up.is_outdated(announcement)) {
            log::info!(
                instance = announcement.instance.as_ref().map_or("", |id| id.as_str()),
                sequence = announcement.sequence;
                "an outdated announcement is dropped"
            );
            return self.upstream_info(now);
        }
        let departed = announcement
            .instance
            .as_ref()
            .is_some_and(|id| self.departures.has_departed(now, id, announcement.start));
        let same = self.upstream.as_ref().is_some_and(|up| up.is_same(announcement));
        if !same {
            decisions::upstream_known(announcement);
            self.record_upstream_death(now);
            self.upstream = Some(LocalUpstream::new(self.gate_cfg.clone(), now, announcement));
        }
        let slots = usable_slots(announcement);
        let stopped = self.stopped;
        let upstream = self.upstream.as_mut()?;
        upstream.renew(now, announcement);
        if departed {
            upstream.facts.state = UpstreamState::Leaving;
        }
        let leaving = stopped || upstream.facts.state == UpstreamState::Leaving;
        let actions = if leaving {
            upstream.gate.mark_leaving()
        } else {
            upstream.gate.resume();
            upstream.gate.set_slots(now, slots)
        };
        self.carry_out(actions);
        self.upstream_info(now)
    }

    /// Tells whether an upstream announced itself or was found.
    pub(crate) fn has_upstream(&self) -> bool {
        self.upstream.is_some()
    }

    /// Takes in that an upstream leaves; others than the announced one are no matter.
    pub(crate) fn handle_upstream_departure(
        &mut self,
        now: Timestamp,
        instance: &InstanceId,
    ) -> Option<UpstreamInfo> {
        let known = self.upstream.as_ref().filter(|up| up.instance.as_ref() == Some(instance));
        let start = known.map(|upstream| upstream.start);
        self.departures.record(now, instance, start, unix_millis());
        log::info!(instance = instance.as_str(), known = start.is_some(); "an upstream leaves");
        if let Some(upstream) = &mut self.upstream
            && upstream.instance.as_ref() == Some(instance)
        {
            upstream.facts.state = UpstreamState::Leaving;
            let actions = upstream.gate.mark_leaving();
            self.carry_out(actions);
        }
        self.upstream_info(now)
    }

    /// Returns what the members should know of the local upstream.
    pub(crate) fn upstream_info(&self, now: Timestamp) -> Option<UpstreamInfo> {
        let upstream = self.upstream.as_ref().filter(|up| up.expires > now)?;
        let mut facts = upstream.facts.clone();
        if self.stopped {
            facts.state = UpstreamState::Leaving;
        }
        Some(facts)
    }

    /// Returns the service of the local upstream.
    pub(crate) fn service(&self) -> Option<ServiceName> {
        self.upstream.as_ref().map(|upstream| upstream.facts.service.clone())
    }

    /// Takes no new work; what runs may finish.
    pub(crate) fn stop_admission(&mut self) {
        self.stopped = true;
        if let Some(upstream) = &mut self.upstream {
            let actions = upstream.gate.mark_leaving();
            self.carry_out(actions);
        }
    }

    /// Takes work again after a planned stop.
    pub(crate) fn resume_admission(&mut self) {
        self.stopped = false;
        if let Some(upstream) = &mut self.upstream
            && upstream.facts.state != UpstreamState::Leaving
        {
            upstream.gate.resume();
        }
    }

    /// Tells whether the host takes no new work.
    pub(crate) fn is_admission_stopped(&self) -> bool {
        self.stopped
    }

    /// Advances timers: waiting requests past their deadline, lapsed announcements.
    pub(crate) fn tick(&mut self, now: Timestamp) {
        self.quarantine.expire(now);
        let gate = self.upstream.as_ref().map(|upstream| &upstream.gate);
        let (slots, wait) =
            gate.map_or((1, Duration::ZERO), |gate| (gate.capacity(), gate.expected_wait()));
        self.shedding.tick(now, slots, wait);
        let Some(upstream) = &mut self.upstream else {
            return;
        };
        let actions = upstream.gate.expire(now);
        let lapsed = upstream.expires <= now;
        self.carry_out(actions);
        if lapsed {
            log::warn!("the upstream's announcement lapsed");
            self.record_upstream_death(now);
        }
    }

    /// Returns the requests in flight and waiting at the gate.
    pub(crate) fn in_progress(&self) -> usize {
        let gate = self.upstream.as_ref().map(|up| up.gate.in_flight() + up.gate.queued());
        gate.unwrap_or(0) + self.pass_through_running as usize
    }

    /// Returns the gate's state for the dump.
    pub(crate) fn gate_state(&self) -> Option<GateState> {
        let upstream = self.upstream.as_ref()?;
        Some(GateState {
            service: upstream.facts.service.clone(),
            slots: upstream.facts.slots,
            limit: upstream.gate.limit(),
            in_flight: upstream.gate.in_flight() as u32,
            queued: upstream.gate.queued() as u32,
            leaving: upstream.gate.is_leaving(),
            demand_milli: (self.shedding.demand() * 1_000.0) as u32,
            level_milli: (self.shedding.own_level() * 1_000.0) as u32,
            saved_retries_milli: (self.budget.balance() * 1_000.0) as i32,
        })
    }

    /// Returns the hosts of called services for the dump.
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

    /// Returns suspected and quarantined requests.
    pub(crate) fn quarantine_list(&self, now: Timestamp) -> Vec<QuarantineEntry> {
        self.quarantine.list(now)
    }

    /// Takes in an entry from another node; returns true if it changed anything.
    pub(crate) fn merge_quarantine(&mut self, now: Timestamp, entry: &QuarantineEntry) -> bool {
        self.quarantine.merge(now, entry)
    }

    /// Lifts a fingerprint by an operator's order; false if it is not known.
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

    /// Takes the changes of the quarantine that have to be spread.
    pub(crate) fn take_quarantine_changes(&mut self) -> Vec<(ServiceName, QuarantineEntry)> {
        std::mem::take(&mut self.quarantine_changes)
    }
}
