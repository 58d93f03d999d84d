//! Shedding levels of the local gate and of downstream services.
//!
//! Each gate reports its level, and the highest one of a class's downstream dependencies, with its
//! responses. The entry node refuses root requests whose call tree would reach an overloaded
//! service.

use std::time::Duration;

use snipehollow_core::admission::{DemandMeter, ReportedLevel, SheddingLevels, admitted_share};
use snipehollow_core::callgraph::CallFactors;
use snipehollow_core::class::ClassPolicy;
use snipehollow_core::collections::{FastMap, FastSet};
use snipehollow_core::ids::{ClassName, ServiceName};
use snipehollow_core::time::Timestamp;

use super::state::HostState;
use crate::traffic::{Call, NodeResponse};

/// Minimum call factor at which runs of a class count as calling another class. A lower estimate
/// cannot be distinguished from chance.
const MIN_CALL_FACTOR: f64 = 0.3;
/// Maximum number of classes, of services and of root classes that are kept. The maps of classes
/// and services are cleared when they are full.
const MAX_ENTRIES: usize = 4_096;
/// Maximum number of downstream dependencies that are kept for one class.
const MAX_DEPENDENCIES: usize = 16;
/// How long a dependency is kept after the last response that named it. Expired ones are removed
/// when another one is recorded.
const DEPENDENCY_RETENTION: Duration = Duration::from_secs(30);
/// One response in this many, on average, names the dependencies of its class. Naming them in each
/// would waste bytes.
const DEPENDENCY_REPORT_INTERVAL: u64 = 8;

/// Shedding level of the local gate, and levels reported for the classes and services that this
/// node calls.
#[derive(Debug, Default)]
pub(crate) struct SheddingTable {
    /// Level and demand of the local gate.
    meter: DemandMeter,
    /// Call factors of the local upstream, which determine whose levels count for a class.
    factors: CallFactors,
    /// Classes of calls that this node made as entry node.
    classes: FastMap<ClassName, ReportedClass>,
    /// Levels of the gates of called services.
    services: FastMap<ServiceName, ReportedLevel>,
    /// Classes of the local service whose requests are root requests.
    roots: FastSet<ClassName>,
}

/// What responses reported about a class.
#[derive(Debug, Default)]
struct ReportedClass {
    /// Highest level of the gates that requests of the class reach, as reported by those gates.
    level: ReportedLevel,
    /// Whether requests of the class are root requests.
    is_root: bool,
    /// Services that requests of the class reach, and the time of the last response that named
    /// each.
    dependencies: Vec<(ServiceName, Timestamp)>,
}

impl ReportedClass {
    fn record_dependency(&mut self, now: Timestamp, service: &ServiceName) {
        if let Some((_, reported_at)) =
            self.dependencies.iter_mut().find(|(known, _)| known == service)
        {
            *reported_at = now;
            return;
        }
        self.dependencies.retain(|(_, reported_at)| now.since(*reported_at) < DEPENDENCY_RETENTION);
        if self.dependencies.len() < MAX_DEPENDENCIES {
            self.dependencies.push((service.clone(), now));
        }
    }
}

impl SheddingTable {
    /// Records that the upstream started to run a request of a class.
    pub(super) fn record_run_start(&mut self, now: Timestamp, class: &ClassName) {
        self.factors.record_run_start(now, class);
    }

    /// Records that a run of a class ended.
    pub(super) fn record_run_end(&mut self, now: Timestamp, class: &ClassName) {
        self.factors.record_run_end(now, class);
    }

    /// Records an arrival at the gate that is expected to hold a slot for `slot_time`.
    pub(super) fn record_arrival(&mut self, slot_time: Duration) {
        self.meter.record_arrival(slot_time);
    }

    /// Updates the level of the local gate.
    ///
    /// `slots` is the capacity of the gate, `wait` the expected wait for a slot.
    pub(super) fn tick(&mut self, now: Timestamp, slots: u32, wait: Duration) {
        self.meter.end_period(now, slots, wait);
    }

    /// Returns whether responses reported that requests of a class are root requests.
    fn is_root(&self, class: &ClassName) -> bool {
        self.classes.get(class).is_some_and(|class| class.is_root)
    }

    /// Returns whether runs of the class `run` make calls of the class `call`.
    pub(super) fn may_call(&self, run: &ClassName, call: &ClassName) -> bool {
        !self.is_root(call) && self.factors.factor(run, call) >= MIN_CALL_FACTOR
    }

    /// Returns the shedding level of the local gate.
    pub(super) fn own_level(&self) -> f64 {
        self.meter.level()
    }

    /// Returns the demand at the local gate, as a multiple of its slots.
    pub(super) fn demand(&self) -> f64 {
        self.meter.demand()
    }

    /// Returns the classes that runs of a class call.
    ///
    /// Root classes are omitted: their requests come from callers on this host, not from runs of
    /// its upstream.
    fn called_classes(&self, class: &ClassName) -> impl Iterator<Item = &ReportedClass> {
        let calls = self
            .factors
            .for_class(class)
            .into_iter()
            .filter(|(_, factor)| *factor >= MIN_CALL_FACTOR);
        calls.filter_map(|(call, _)| self.classes.get(call)).filter(|call| !call.is_root)
    }

    /// Returns the highest level of the gates that requests of a class reach, as far as reported.
    fn level(&self, now: Timestamp, class: &ReportedClass) -> f64 {
        let services = class.dependencies.iter().filter_map(|(name, _)| self.services.get(name));
        services.map(|level| level.get(now)).fold(class.level.get(now), f64::max)
    }
}

impl HostState {
    /// Records a call that arrived at this node's caller listener, for the estimate of call
    /// factors.
    pub(crate) fn record_call_arrival(&mut self, now: Timestamp, call: &Call) {
        let table = &mut self.shedding;
        if !table.is_root(&call.class.name) {
            table.factors.record_call(now, &call.class.name);
        }
    }

    /// Returns the shedding levels that the local gate reports for the class of a call.
    ///
    /// Call graphs have no cycles, so an upstream never calls its own service: a call that
    /// originates on a host of that service comes from a caller, and its class is a root class.
    pub(crate) fn shedding_levels(
        &mut self,
        now: Timestamp,
        call: &Call,
        local: Option<&ServiceName>,
    ) -> SheddingLevels {
        let from_own_service =
            call.caller_service.is_some() && call.caller_service.as_ref() == local;
        let table = &mut self.shedding;
        if from_own_service
            && !table.roots.contains(&call.class.name)
            && table.roots.len() < MAX_ENTRIES
        {
            table.roots.insert(call.class.name.clone());
        }
        let is_root = table.roots.contains(&call.class.name);
        let dependency_levels =
            table.called_classes(&call.class.name).map(|class| table.level(now, class));
        SheddingLevels::new(table.meter.level(), dependency_levels.fold(0.0, f64::max), is_root)
    }

    /// Returns the downstream dependencies of a class to name in a response.
    ///
    /// Returns none for most responses, see [`DEPENDENCY_REPORT_INTERVAL`], and while there are no
    /// estimates.
    pub(crate) fn dependencies_to_report(&mut self, class: &ClassName) -> Vec<ServiceName> {
        let mut dependencies = Vec::new();
        // Without estimates, every call counts as possible; other nodes must not record such
        // guesses.
        if !self.shedding.factors.has_estimates()
            || !self.random().is_multiple_of(DEPENDENCY_REPORT_INTERVAL)
        {
            return dependencies;
        }
        let reported = self.shedding.called_classes(class).flat_map(|class| &class.dependencies);
        for (service, _) in reported {
            if dependencies.len() < MAX_DEPENDENCIES && !dependencies.contains(service) {
                dependencies.push(service.clone());
            }
        }
        dependencies
    }

    /// Records the levels and dependencies that a response reports for its class.
    pub(crate) fn record_shedding_levels(
        &mut self,
        now: Timestamp,
        call: &Call,
        response: &NodeResponse,
    ) {
        let Some(levels) = response.shedding_levels else {
            return;
        };
        let table = &mut self.shedding;
        if table.classes.len() >= MAX_ENTRIES && !table.classes.contains_key(&call.class.name) {
            table.classes.clear();
        }
        if table.services.len() >= MAX_ENTRIES && !table.services.contains_key(&call.service) {
            table.services.clear();
        }
        let class = table.classes.entry(call.class.name.clone()).or_default();
        class.level.record_level(now, levels.level_milli);
        class.is_root |= levels.is_root;
        class.record_dependency(now, &call.service);
        for service in &response.dependencies {
            class.record_dependency(now, service);
        }
        let gate = table.services.entry(call.service.clone()).or_default();
        gate.record_level(now, levels.gate_milli);
    }

    /// Decides whether to refuse a root request because a service that it would reach is
    /// overloaded.
    ///
    /// Nested calls are never refused, since that would waste the work already done for their root
    /// request. Returns the shedding level if the request is refused.
    pub(crate) fn shed(&mut self, now: Timestamp, class: &ClassPolicy) -> Option<f64> {
        let known = self.shedding.classes.get(&class.name).filter(|known| known.is_root)?;
        let level = self.shedding.level(now, known);
        let share = admitted_share(level, class.rank);
        (share < 1.0 && !self.rng_chance(share)).then_some(level)
    }
}
