//! Choice of the host for a try.

use std::net::SocketAddr;
use std::time::Duration;

use super::{HostStats, LinkBudget, TryResult};
use crate::admission::LoadLevel;
use crate::class::Rank;
use crate::collections::FastMap;
use crate::ids::{ClassName, HostName, RegionName, ServiceName, ZoneName};
use crate::reason::Reason;
use crate::rng::Rng;
use crate::time::Timestamp;

data_type! {
    /// A host that runs an upstream of a service.
    pub struct Candidate {
        /// Name of the host.
        pub host: HostName,
        /// Availability zone of the host.
        pub zone: ZoneName,
        /// Region of the host.
        pub region: RegionName,
        /// Address of the host's peer face.
        pub addr: SocketAddr,
        /// Slots that the upstream announced.
        pub slots: u32,
    }
}

key_type! {
    /// How far a host is; nearer is smaller.
    pub enum Distance {
        /// Same availability zone.
        Zone,
        /// Same region.
        Region,
        /// Another region, over the narrow link.
        Remote,
    }
}

/// Place of the node that routes.
#[derive(Clone, Debug)]
pub struct RouterConfig {
    /// Own availability zone.
    pub zone: ZoneName,
    /// Own region.
    pub region: RegionName,
    /// Share of refused requests that are sent anyway to learn whether a host recovered.
    pub probe_share: f64,
}

impl RouterConfig {
    /// Creates the configuration of a node at this place.
    pub fn new(zone: ZoneName, region: RegionName) -> RouterConfig {
        RouterConfig { zone, region, probe_share: 0.02 }
    }
}

/// A try that needs a host.
#[derive(Clone, Debug)]
pub struct RouteQuery<'a> {
    /// Service that is called.
    pub service: &'a ServiceName,
    /// Rank of the request's class.
    pub rank: Rank,
    /// Name of the request's class.
    pub class: &'a ClassName,
    /// Time within which the answer still has its full worth.
    pub budget: Duration,
    /// Hosts that earlier tries of the request used.
    pub tried: &'a [HostName],
}

/// Where a try goes.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Route {
    /// The chosen host.
    pub host: Candidate,
    /// How far it is.
    pub distance: Distance,
}

/// How a try at a host ended.
#[derive(Clone, Debug)]
pub struct FinishedTry<'a> {
    /// Class of the request.
    pub class: &'a ClassName,
    /// What it says of the host's health.
    pub result: TryResult,
    /// Time since the try was sent.
    pub elapsed: Duration,
    /// Load that the host reported.
    pub level: Option<LoadLevel>,
}

/// Cost of a try in another zone of the region; 1 is a failed request. Half a request's
/// worth of bytes where they are priced highest.
const COST_REGION: f64 = 0.12;
/// Cost of a try in another region, beside the time that it takes.
const COST_REMOTE: f64 = 0.25;
/// Time that crossing to another region and back takes before it was observed.
const ASSUMED_REMOTE_TIME: f64 = 0.04;
/// Share of the budget that a request may be expected to take without being at risk.
const SAFE_SHARE: f64 = 0.6;
/// Share of the budget at which a request is expected to be late.
const LATE_SHARE: f64 = 1.2;
/// Cost of taking the whole budget, so that of two safe hosts the quicker one is taken.
const COST_TIME: f64 = 0.1;
/// Share by which a cost is varied, so that many nodes do not take the same host at once.
const JITTER: f64 = 0.05;
/// Least budget in seconds that costs are related to.
const MIN_BUDGET: f64 = 0.005;
/// Hosts that are compared for one try.
const COMPARED: usize = 16;

/// Largest share of a service's hosts that may be set aside, as a divisor.
const EJECTION_DIVISOR: usize = 3;

/// Chooses hosts by distance and observed load.
#[derive(Clone, Debug)]
pub struct Router {
    cfg: RouterConfig,
    services: FastMap<ServiceName, Vec<Candidate>>,
    stats: FastMap<HostName, HostStats>,
    link: LinkBudget,
}

impl Router {
    /// Creates a router that knows no host.
    pub fn new(cfg: RouterConfig, link: LinkBudget) -> Router {
        Router { cfg, services: FastMap::default(), stats: FastMap::default(), link }
    }

    /// Replaces the hosts of all services; observations of hosts that stay are kept.
    pub fn set_hosts(&mut self, services: FastMap<ServiceName, Vec<Candidate>>) {
        self.services = services;
        let known: crate::collections::FastSet<&HostName> =
            self.services.values().flatten().map(|candidate| &candidate.host).collect();
        self.stats.retain(|host, stats| known.contains(host) || stats.in_flight() > 0);
    }

    /// Returns the known hosts of a service.
    pub fn hosts(&self, service: &ServiceName) -> &[Candidate] {
        self.services.get(service).map_or(&[], Vec::as_slice)
    }

    /// Returns the observations of a host, if there are any.
    pub fn stats(&self, host: &HostName) -> Option<&HostStats> {
        self.stats.get(host)
    }

    /// Returns the budget of the link between regions.
    pub fn link_mut(&mut self) -> &mut LinkBudget {
        &mut self.link
    }

    /// Finds a host of a service by its name, for a request that is bound to it.
    pub fn find(&self, service: &ServiceName, host: &HostName) -> Option<&Candidate> {
        self.hosts(service).iter().find(|candidate| candidate.host == *host)
    }

    /// Chooses a host for a try.
    ///
    /// Errors: [`Reason::NoHost`] if no host is known, [`Reason::RefusedEarly`] if every one
    /// would refuse, [`Reason::LinkBudgetSpent`] if only the link between regions is left
    /// and its budget is spent.
    pub fn choose(
        &mut self,
        now: Timestamp,
        rng: &mut Rng,
        query: &RouteQuery<'_>,
    ) -> Result<Route, Reason> {
        let hosts = self.services.get(query.service).map_or(&[][..], Vec::as_slice);
        if hosts.is_empty() {
            return Err(Reason::NoHost);
        }
        let link_allows = self.link.allows(now, query.rank);
        let mut usable = self.usable(now, query, hosts);
        if usable.is_empty() {
            // Panic mode: all are set aside or tried, so any may serve.
            usable = hosts.iter().collect();
        }
        let refuses = |candidate: &Candidate| {
            self.stats.get(&candidate.host).is_some_and(|s| s.refuses(now, query.rank.0))
        };
        let all_refuse = usable.iter().all(|candidate| refuses(candidate));
        if all_refuse && !rng.chance(self.cfg.probe_share) {
            return Err(Reason::RefusedEarly);
        }
        let open: Vec<&Candidate> =
            usable.into_iter().filter(|candidate| all_refuse || !refuses(candidate)).collect();
        self.cheapest(now, rng, query, &open, link_allows).ok_or(Reason::LinkBudgetSpent)
    }

    /// Records that a try was sent to a host.
    pub fn start_try(&mut self, host: &HostName) {
        self.stats.entry(host.clone()).or_default().start_try();
    }

    /// Records the end of a try at a host.
    pub fn finish_try(
        &mut self,
        now: Timestamp,
        service: &ServiceName,
        host: &HostName,
        end: &FinishedTry<'_>,
    ) {
        let stats = self.stats.entry(host.clone()).or_default();
        if let Some(level) = &end.level {
            stats.record_load(now, level.clone());
        }
        if end.result != TryResult::Refused {
            stats.record_latency(now, end.class, end.elapsed);
        }
        if stats.finish_try(end.result) && self.may_eject(now, service) {
            self.stats.entry(host.clone()).or_default().eject(now);
        }
    }

    fn usable<'a>(
        &self,
        now: Timestamp,
        query: &RouteQuery<'_>,
        hosts: &'a [Candidate],
    ) -> Vec<&'a Candidate> {
        let is_usable = |candidate: &&Candidate| {
            let ejected =
                self.stats.get(&candidate.host).is_some_and(|stats| stats.is_ejected(now));
            !ejected && !query.tried.contains(&candidate.host)
        };
        hosts.iter().filter(is_usable).collect()
    }

    fn may_eject(&self, now: Timestamp, service: &ServiceName) -> bool {
        let hosts = self.hosts(service);
        let ejected = hosts
            .iter()
            .filter(|c| self.stats.get(&c.host).is_some_and(|stats| stats.is_ejected(now)))
            .count();
        let most = (hosts.len() / EJECTION_DIVISOR).max(usize::from(hosts.len() > 1));
        ejected < most
    }

    /// Returns the host at which the request is expected to cost least.
    fn cheapest(
        &self,
        now: Timestamp,
        rng: &mut Rng,
        query: &RouteQuery<'_>,
        open: &[&Candidate],
        link_allows: bool,
    ) -> Option<Route> {
        let mut reachable: Vec<&Candidate> = open
            .iter()
            .copied()
            .filter(|candidate| link_allows || self.distance(candidate) != Distance::Remote)
            .collect();
        let compared = rng.sample(&mut reachable, COMPARED);
        let usual = self.usual_time(now, query, compared);
        let cost = |candidate: &Candidate| self.cost(now, query, candidate, usual);
        let mut best: Option<(f64, &Candidate)> = None;
        for candidate in compared.iter().copied() {
            let varied = cost(candidate) + JITTER * rng.unit();
            if best.is_none_or(|(least, _)| varied < least) {
                best = Some((varied, candidate));
            }
        }
        let (_, host) = best?;
        Some(Route { distance: self.distance(host), host: host.clone() })
    }

    /// Returns the time in seconds that the class is expected to take at a host that was not
    /// observed lately: the mean over the others, each counting as much as it is fresh.
    fn usual_time(&self, now: Timestamp, query: &RouteQuery<'_>, hosts: &[&Candidate]) -> f64 {
        let observed =
            hosts.iter().filter_map(|host| self.stats.get(&host.host)?.latency(query.class));
        let (mut sum, mut weights) = (0.0, 0.0);
        for latency in observed {
            let weight = latency.confidence(now);
            sum += weight * latency.expected_seconds().unwrap_or(0.0);
            weights += weight;
        }
        if weights > 0.0 { sum / weights } else { 0.0 }
    }

    /// Returns the expected cost of a try; 1 is a failed request.
    fn cost(
        &self,
        now: Timestamp,
        query: &RouteQuery<'_>,
        candidate: &Candidate,
        usual: f64,
    ) -> f64 {
        let distance = self.distance(candidate);
        let unknown = HostStats::default();
        let stats = self.stats.get(&candidate.host).unwrap_or(&unknown);
        let observed = stats.latency(query.class);
        let confidence = observed.map_or(0.0, |latency| latency.confidence(now));
        let crossing = if distance == Distance::Remote { ASSUMED_REMOTE_TIME } else { 0.0 };
        let assumed = usual + crossing;
        let expected = observed.and_then(|latency| latency.expected_seconds()).unwrap_or(assumed);
        let time = confidence * expected + (1.0 - confidence) * assumed;
        // What exceeds the slots waits for them.
        let waiting = (stats.projected_utilization(now, candidate.slots) - 1.0).max(0.0) * time;
        let share = (time + waiting) / query.budget.as_secs_f64().max(MIN_BUDGET);
        let risk = ((share - SAFE_SHARE) / (LATE_SHARE - SAFE_SHARE)).clamp(0.0, 1.0);
        let far = match distance {
            Distance::Zone => 0.0,
            Distance::Region => COST_REGION,
            Distance::Remote => COST_REMOTE,
        };
        risk + COST_TIME * share + stats.failure_share() + far
    }

    /// Tells how far a host is.
    pub fn distance(&self, candidate: &Candidate) -> Distance {
        if candidate.zone == self.cfg.zone {
            Distance::Zone
        } else if candidate.region == self.cfg.region {
            Distance::Region
        } else {
            Distance::Remote
        }
    }
}
