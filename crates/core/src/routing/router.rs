//! Choice of the host that a try is sent to, by expected cost.

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
    /// Host that runs an upstream of a service and may receive tries.
    pub struct Candidate {
        /// Name of the host, unique in the fleet.
        pub host: HostName,
        /// Availability zone that the host is in.
        pub zone: ZoneName,
        /// Region that the zone belongs to.
        pub region: RegionName,
        /// Address of the host's listener for calls from other nodes.
        pub addr: SocketAddr,
        /// Number of requests that the upstream announced it can run at once.
        pub slots: u32,
    }
}

key_type! {
    /// Network distance of a host from this node, in ascending order.
    pub enum Distance {
        /// In the same availability zone.
        Zone,
        /// In another zone of the same region.
        Region,
        /// Another region, reached over the limited link between regions.
        Remote,
    }
}

/// Location of this node, and settings of its router.
#[derive(Clone, Debug)]
pub struct RouterConfig {
    /// Availability zone of this node.
    pub zone: ZoneName,
    /// Region of this node.
    pub region: RegionName,
    /// Share of requests that are sent although every host is expected to refuse them, to
    /// find out whether one has recovered.
    pub probe_share: f64,
}

impl RouterConfig {
    /// Creates the configuration of a node in this zone, with the default settings.
    pub fn new(zone: ZoneName, region: RegionName) -> RouterConfig {
        RouterConfig { zone, region, probe_share: 0.02 }
    }
}

/// Input for the choice of a host for one try.
#[derive(Clone, Debug)]
pub struct RouteQuery<'a> {
    /// Called service.
    pub service: &'a ServiceName,
    /// Rank of the request's class.
    pub rank: Rank,
    /// Name of the request's class.
    pub class: &'a ClassName,
    /// Remaining time in which a response still has its full worth.
    pub budget: Duration,
    /// Hosts that earlier tries of the same request were sent to.
    pub tried: &'a [HostName],
}

/// Destination chosen for a try.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Route {
    /// Host that the try is sent to.
    pub host: Candidate,
    /// Distance of the host from this node.
    pub distance: Distance,
}

/// Report on a try that has finished.
#[derive(Clone, Debug)]
pub struct FinishedTry<'a> {
    /// Class of the request.
    pub class: &'a ClassName,
    /// Result of the try, as evidence of the host's health.
    pub result: TryResult,
    /// Time since the try was sent.
    pub elapsed: Duration,
    /// Load level that the host reported with its response, if any.
    pub load_level: Option<LoadLevel>,
}

/// Cost of a try in another zone of the region, relative to the cost 1 of a failed request.
///
/// Half of what the traffic of one request costs where traffic is most expensive.
const REGION_COST: f64 = 0.12;
/// Cost of a try in another region, in addition to the cost of its latency.
const REMOTE_COST: f64 = 0.25;
/// Round-trip time to another region, in seconds, that is assumed until it has been observed.
const ASSUMED_REMOTE_SECONDS: f64 = 0.04;
/// Fraction of the time budget up to which an expected latency carries no risk of being late.
const NO_RISK_FRACTION: f64 = 0.6;
/// Fraction of the time budget from which a request is considered certain to be late.
const LATE_FRACTION: f64 = 1.2;
/// Cost of an expected latency as long as the time budget, so that the faster of two hosts without
/// risk is preferred.
const FULL_BUDGET_COST: f64 = 0.1;
/// Maximum random addition to a cost, so that many nodes do not choose the same host at once.
const MAX_COST_JITTER: f64 = 0.05;
/// Minimum time budget, in seconds, that latencies are compared with; avoids a division by zero.
const MIN_BUDGET_SECONDS: f64 = 0.005;
/// Maximum number of hosts whose costs are compared for one try.
const MAX_COMPARED_HOSTS: usize = 16;

/// At most one in this many hosts of a service may be ejected at the same time, but always one
/// if the service has more than one host.
const EJECTION_DIVISOR: usize = 3;

/// How long [`Router::find`] still returns a host that is no longer listed.
const FORMER_HOST_RETENTION: Duration = Duration::from_secs(60);
/// Maximum number of hosts kept after they were listed; beyond it, the oldest are dropped.
const MAX_FORMER_HOSTS: usize = 512;

/// Host that is no longer listed for its service.
#[derive(Clone, Debug)]
struct FormerHost {
    service: ServiceName,
    candidate: Candidate,
    /// Time at which it was first missing.
    since: Timestamp,
}

/// Chooses hosts by the expected cost of a try.
#[derive(Clone, Debug)]
pub struct Router {
    cfg: RouterConfig,
    services: FastMap<ServiceName, Vec<Candidate>>,
    stats: FastMap<HostName, HostStats>,
    /// Hosts that were listed recently, oldest first.
    former: Vec<FormerHost>,
    link: LinkBudget,
}

impl Router {
    /// Creates a router without hosts.
    pub fn new(cfg: RouterConfig, link: LinkBudget) -> Router {
        Router {
            cfg,
            services: FastMap::default(),
            stats: FastMap::default(),
            former: Vec::new(),
            link,
        }
    }

    /// Replaces the hosts of all services.
    ///
    /// Keeps the statistics of hosts that are still listed or have tries in flight.
    pub fn set_hosts(&mut self, now: Timestamp, services: FastMap<ServiceName, Vec<Candidate>>) {
        let before = std::mem::replace(&mut self.services, services);
        self.keep_former(now, before);
        let known: crate::collections::FastSet<&HostName> =
            self.services.values().flatten().map(|candidate| &candidate.host).collect();
        self.stats.retain(|host, stats| known.contains(host) || stats.in_flight() > 0);
    }

    /// Returns the known hosts of a service; empty if the service is unknown.
    pub fn hosts(&self, service: &ServiceName) -> &[Candidate] {
        self.services.get(service).map_or(&[], Vec::as_slice)
    }

    /// Returns the statistics of a host; `None` if no try was sent to it yet.
    pub fn stats(&self, host: &HostName) -> Option<&HostStats> {
        self.stats.get(host)
    }

    /// Returns the byte budget for the link between regions.
    pub fn link_mut(&mut self) -> &mut LinkBudget {
        &mut self.link
    }

    /// Returns the host of a service with this name, for a request that must go to this host.
    ///
    /// Also returns a host that was listed until recently: it may still respond that it is leaving
    /// and has not run the request, or return the response to an earlier run.
    pub fn find(
        &self,
        now: Timestamp,
        service: &ServiceName,
        host: &HostName,
    ) -> Option<&Candidate> {
        let listed = self.hosts(service).iter().find(|candidate| candidate.host == *host);
        listed.or_else(|| {
            let is_former = |former: &&FormerHost| {
                former.service == *service
                    && former.candidate.host == *host
                    && now.since(former.since) < FORMER_HOST_RETENTION
            };
            self.former.iter().rev().find(is_former).map(|former| &former.candidate)
        })
    }

    /// Keeps the hosts that are missing from the new lists for [`Router::find`].
    fn keep_former(&mut self, now: Timestamp, before: FastMap<ServiceName, Vec<Candidate>>) {
        self.former.retain(|former| now.since(former.since) < FORMER_HOST_RETENTION);
        for (service, hosts) in before {
            let listed: crate::collections::FastSet<&HostName> =
                self.hosts(&service).iter().map(|candidate| &candidate.host).collect();
            let missing: Vec<Candidate> =
                hosts.into_iter().filter(|candidate| !listed.contains(&candidate.host)).collect();
            self.former.extend(missing.into_iter().map(|candidate| FormerHost {
                service: service.clone(),
                candidate,
                since: now,
            }));
        }
        let excess = self.former.len().saturating_sub(MAX_FORMER_HOSTS);
        self.former.drain(..excess);
    }

    /// Chooses a host for a try.
    ///
    /// # Errors
    ///
    /// - [`Reason::NoHost`] if no host of the service is known
    /// - [`Reason::RefusedEarly`] if every host is expected to refuse the request
    /// - [`Reason::LinkBudgetSpent`] if only hosts of other regions are left and the link's
    ///   budget is spent
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
            // Panic mode: every host is ejected or was tried before, so all are considered again.
            usable = hosts.iter().collect();
        }
        let refuses = |candidate: &Candidate| {
            self.stats.get(&candidate.host).is_some_and(|s| s.refuses(now, query.rank.0))
        };
        let all_refuse = usable.iter().all(|candidate| refuses(candidate));
        if all_refuse && !rng.chance(self.cfg.probe_share) {
            return Err(Reason::RefusedEarly);
        }
        let candidates: Vec<&Candidate> =
            usable.into_iter().filter(|candidate| all_refuse || !refuses(candidate)).collect();
        self.cheapest(now, rng, query, &candidates, link_allows).ok_or(Reason::LinkBudgetSpent)
    }

    /// Records that a try was sent to a host. Must be paired with [`Router::finish_try`].
    pub fn start_try(&mut self, host: &HostName) {
        self.stats.entry(host.clone()).or_default().start_try();
    }

    /// Records the result of a try, and ejects the host after repeated failures unless too many
    /// hosts of the service are ejected already.
    pub fn finish_try(
        &mut self,
        now: Timestamp,
        service: &ServiceName,
        host: &HostName,
        finished: &FinishedTry<'_>,
    ) {
        let stats = self.stats.entry(host.clone()).or_default();
        if let Some(load_level) = &finished.load_level {
            stats.record_load(now, load_level.clone());
        }
        if finished.result != TryResult::Refused {
            stats.record_latency(now, finished.class, finished.elapsed);
        }
        if stats.finish_try(finished.result) && self.may_eject(now, service) {
            self.stats.entry(host.clone()).or_default().eject(now);
        }
    }

    /// Returns the hosts that are not ejected and were not tried before.
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

    /// Returns whether one more host of the service may be ejected.
    fn may_eject(&self, now: Timestamp, service: &ServiceName) -> bool {
        let hosts = self.hosts(service);
        let ejected = hosts
            .iter()
            .filter(|c| self.stats.get(&c.host).is_some_and(|stats| stats.is_ejected(now)))
            .count();
        let max_ejected = (hosts.len() / EJECTION_DIVISOR).max(usize::from(hosts.len() > 1));
        ejected < max_ejected
    }

    /// Returns the route with the lowest expected cost among a random sample of the candidates;
    /// `None` if all of them are in other regions and `link_allows` is false.
    fn cheapest(
        &self,
        now: Timestamp,
        rng: &mut Rng,
        query: &RouteQuery<'_>,
        candidates: &[&Candidate],
        link_allows: bool,
    ) -> Option<Route> {
        let mut reachable: Vec<&Candidate> = candidates
            .iter()
            .copied()
            .filter(|candidate| link_allows || self.distance(candidate) != Distance::Remote)
            .collect();
        let compared = rng.sample(&mut reachable, MAX_COMPARED_HOSTS);
        let typical = self.typical_seconds(now, query, compared);
        let cost = |candidate: &Candidate| self.cost(now, query, candidate, typical);
        let mut best: Option<(f64, &Candidate)> = None;
        for candidate in compared.iter().copied() {
            let jittered = cost(candidate) + MAX_COST_JITTER * rng.unit();
            if best.is_none_or(|(lowest, _)| jittered < lowest) {
                best = Some((jittered, candidate));
            }
        }
        let (_, host) = best?;
        Some(Route { distance: self.distance(host), host: host.clone() })
    }

    /// Returns the latency, in seconds, that is assumed at a host without recent observations: the
    /// mean of the class's expected latency over `hosts`, weighted by confidence.
    fn typical_seconds(&self, now: Timestamp, query: &RouteQuery<'_>, hosts: &[&Candidate]) -> f64 {
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

    /// Returns the expected cost of a try at a host; 1 is the cost of a failed request.
    ///
    /// `typical` is the latency, in seconds, to assume where the host has no recent observations.
    fn cost(
        &self,
        now: Timestamp,
        query: &RouteQuery<'_>,
        candidate: &Candidate,
        typical: f64,
    ) -> f64 {
        let distance = self.distance(candidate);
        let no_stats = HostStats::default();
        let stats = self.stats.get(&candidate.host).unwrap_or(&no_stats);
        let observed = stats.latency(query.class);
        let confidence = observed.map_or(0.0, |latency| latency.confidence(now));
        let transit_seconds =
            if distance == Distance::Remote { ASSUMED_REMOTE_SECONDS } else { 0.0 };
        let assumed_seconds = typical + transit_seconds;
        let observed_seconds =
            observed.and_then(|latency| latency.expected_seconds()).unwrap_or(assumed_seconds);
        let expected_seconds = confidence * observed_seconds + (1.0 - confidence) * assumed_seconds;
        // Load beyond the host's concurrency limit has to wait in its queue.
        let queue_seconds =
            (stats.projected_utilization(now, candidate.slots) - 1.0).max(0.0) * expected_seconds;
        let budget_fraction =
            (expected_seconds + queue_seconds) / query.budget.as_secs_f64().max(MIN_BUDGET_SECONDS);
        let risk = ((budget_fraction - NO_RISK_FRACTION) / (LATE_FRACTION - NO_RISK_FRACTION))
            .clamp(0.0, 1.0);
        let distance_cost = match distance {
            Distance::Zone => 0.0,
            Distance::Region => REGION_COST,
            Distance::Remote => REMOTE_COST,
        };
        risk + FULL_BUDGET_COST * budget_fraction + stats.failure_rate() + distance_cost
    }

    /// Returns the distance of a host from this node.
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
