//! Pressure of the call trees that pass through this host.

use std::time::Duration;

use snipehollow_core::admission::{DemandMeter, ReportedLevel, SheddingLevels, admitted_share};
use snipehollow_core::callgraph::CallFactors;
use snipehollow_core::class::ClassPolicy;
use snipehollow_core::collections::{FastMap, FastSet};
use snipehollow_core::ids::{ClassName, ServiceName};
use snipehollow_core::time::Timestamp;

use super::state::HostState;
use crate::traffic::{Answer, Call};

/// Calls a run from which on the called gates' pressure counts for the run's class; below it
/// the estimate cannot be told from chance.
const FACTOR_FLOOR: f64 = 0.3;
/// Most classes, and most services, whose pressure is kept.
const MAX_KEPT: usize = 4_096;
/// Most services that the call tree of one class is known to reach.
const MAX_REACH: usize = 16;
/// Time after which a service that no answer named again is no longer reached.
const REACH_KEPT: Duration = Duration::from_secs(30);
/// Answers of which one names the services that its class reaches, to save bytes.
const REACH_TOLD_IN: u64 = 8;

/// Pressure of the gate of this host and of the classes that it calls.
#[derive(Debug, Default)]
pub(crate) struct SheddingTable {
    meter: DemandMeter,
    factors: CallFactors,
    classes: FastMap<ClassName, ClassPressure>,
    services: FastMap<ServiceName, ReportedLevel>,
    /// Classes of the local service that were seen to begin call trees.
    roots: FastSet<ClassName>,
}

/// What answers said of a class.
#[derive(Debug, Default)]
struct ClassPressure {
    level: ReportedLevel,
    is_root: bool,
    /// Services that its requests reach, and when an answer last said so.
    reach: Vec<(ServiceName, Timestamp)>,
}

impl ClassPressure {
    fn note_reach(&mut self, now: Timestamp, service: &ServiceName) {
        if let Some((_, told)) = self.reach.iter_mut().find(|(known, _)| known == service) {
            *told = now;
            return;
        }
        self.reach.retain(|(_, told)| now.since(*told) < REACH_KEPT);
        if self.reach.len() < MAX_REACH {
            self.reach.push((service.clone(), now));
        }
    }
}

impl SheddingTable {
    /// Records that the upstream started a run.
    pub(super) fn run_started(&mut self, now: Timestamp, class: &ClassName) {
        self.factors.record_run_start(now, class);
    }

    /// Records that a run ended.
    pub(super) fn run_ended(&mut self, now: Timestamp, class: &ClassName) {
        self.factors.record_run_end(now, class);
    }

    /// Records an arrival at the gate that is expected to hold a slot for this time.
    pub(super) fn offer(&mut self, slot_time: Duration) {
        self.meter.record_arrival(slot_time);
    }

    /// Advances the meter; `wait` is that for a slot of the gate.
    pub(super) fn tick(&mut self, now: Timestamp, slots: u32, wait: Duration) {
        self.meter.end_period(now, slots, wait);
    }

    /// Tells whether requests of a class begin call trees, as far as answers told.
    fn is_root(&self, class: &ClassName) -> bool {
        self.classes.get(class).is_some_and(|class| class.is_root)
    }

    /// Tells whether runs of a class make calls of a class.
    pub(super) fn may_call(&self, run: &ClassName, call: &ClassName) -> bool {
        !self.is_root(call) && self.factors.factor(run, call) >= FACTOR_FLOOR
    }

    /// Returns the level of the gate of this host.
    pub(super) fn own_level(&self) -> f64 {
        self.meter.level()
    }

    /// Returns the demand that the gate meets, as a multiple of its slots.
    pub(super) fn demand(&self) -> f64 {
        self.meter.demand()
    }

    /// Returns the classes that runs of a class call; those that begin call trees come from
    /// callers on this host.
    fn calls(&self, class: &ClassName) -> impl Iterator<Item = &ClassPressure> {
        let calls =
            self.factors.for_class(class).into_iter().filter(|(_, factor)| *factor >= FACTOR_FLOOR);
        calls.filter_map(|(call, _)| self.classes.get(call)).filter(|call| !call.is_root)
    }

    /// Returns the level of the gates that requests of a class reach, as far as answers told.
    fn level(&self, now: Timestamp, class: &ClassPressure) -> f64 {
        let services = class.reach.iter().filter_map(|(name, _)| self.services.get(name));
        services.map(|level| level.get(now)).fold(class.level.get(now), f64::max)
    }
}

impl HostState {
    /// Records a call that arrived at this host's caller face.
    pub(crate) fn record_call_arrival(&mut self, now: Timestamp, call: &Call) {
        let book = &mut self.shedding;
        if !book.is_root(&call.class.name) {
            book.factors.record_call(now, &call.class.name);
        }
    }

    /// Returns what this gate says of a class.
    ///
    /// Call graphs have no cycles, so a service is not called from its own hosts except by
    /// callers: a class that arrives from there begins call trees.
    pub(crate) fn shedding_levels(
        &mut self,
        now: Timestamp,
        call: &Call,
        local: Option<&ServiceName>,
    ) -> SheddingLevels {
        let from_own_service = call.origin.is_some() && call.origin.as_ref() == local;
        let book = &mut self.shedding;
        if from_own_service && !book.roots.contains(&call.class.name) && book.roots.len() < MAX_KEPT
        {
            book.roots.insert(call.class.name.clone());
        }
        let is_root = book.roots.contains(&call.class.name);
        let below = book.calls(&call.class.name).map(|class| book.level(now, class));
        SheddingLevels::new(book.meter.level(), below.fold(0.0, f64::max), is_root)
    }

    /// Returns the services that requests of a class reach below this gate, for one answer in
    /// a few once they are known; else none.
    pub(crate) fn dependencies_to_report(&mut self, class: &ClassName) -> Vec<ServiceName> {
        let mut reach = Vec::new();
        // What is only presumed must not be remembered elsewhere.
        if !self.shedding.factors.has_estimates() || !self.random().is_multiple_of(REACH_TOLD_IN) {
            return reach;
        }
        let named = self.shedding.calls(class).flat_map(|class| &class.reach);
        for (service, _) in named {
            if reach.len() < MAX_REACH && !reach.contains(service) {
                reach.push(service.clone());
            }
        }
        reach
    }

    /// Takes in what an answer says of its class and of the gate that gave it.
    pub(crate) fn record_shedding_levels(&mut self, now: Timestamp, call: &Call, answer: &Answer) {
        let Some(pressure) = answer.pressure else {
            return;
        };
        let book = &mut self.shedding;
        if book.classes.len() >= MAX_KEPT && !book.classes.contains_key(&call.class.name) {
            book.classes.clear();
        }
        if book.services.len() >= MAX_KEPT && !book.services.contains_key(&call.service) {
            book.services.clear();
        }
        let class = book.classes.entry(call.class.name.clone()).or_default();
        class.level.record_level(now, pressure.level_milli);
        class.is_root |= pressure.is_root;
        class.note_reach(now, &call.service);
        for service in &answer.reach {
            class.note_reach(now, service);
        }
        let gate = book.services.entry(call.service.clone()).or_default();
        gate.record_level(now, pressure.gate_milli);
    }

    /// Decides whether a request that begins a call tree is let in; a call inside a tree
    /// always is, since refusing it would waste the work above it.
    ///
    /// Returns the level if it is not.
    pub(crate) fn shed(&mut self, now: Timestamp, class: &ClassPolicy) -> Option<f64> {
        let known = self.shedding.classes.get(&class.name).filter(|known| known.is_root)?;
        let level = self.shedding.level(now, known);
        let share = admitted_share(level, class.rank);
        (share < 1.0 && !self.rng_chance(share)).then_some(level)
    }
}
