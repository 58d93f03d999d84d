//! Choice of the host for a try.

use std::net::SocketAddr;

use super::{HostStats, LinkBudget, TryResult};
use crate::admission::LoadLevel;
use crate::class::Rank;
use crate::collections::FastMap;
use crate::ids::{HostName, RegionName, ServiceName, ZoneName};
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

/// Largest share of a service's hosts that may be set aside, as a divisor.
const SET_ASIDE_DIVISOR: usize = 3;

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
        self.nearest(now, rng, &open, link_allows).ok_or(Reason::LinkBudgetSpent)
    }

    /// Records that a try was sent to a host.
    pub fn start(&mut self, host: &HostName) {
        self.stats.entry(host.clone()).or_default().start();
    }

    /// Records the end of a try at a host.
    pub fn finish(
        &mut self,
        now: Timestamp,
        service: &ServiceName,
        host: &HostName,
        result: TryResult,
        level: Option<LoadLevel>,
    ) {
        let stats = self.stats.entry(host.clone()).or_default();
        if let Some(level) = level {
            stats.report(now, level);
        }
        if stats.finish(result) && self.may_set_aside(now, service) {
            self.stats.entry(host.clone()).or_default().set_aside(now);
        }
    }

    fn usable<'a>(
        &self,
        now: Timestamp,
        query: &RouteQuery<'_>,
        hosts: &'a [Candidate],
    ) -> Vec<&'a Candidate> {
        let is_usable = |candidate: &&Candidate| {
            let set_aside =
                self.stats.get(&candidate.host).is_some_and(|stats| stats.is_set_aside(now));
            !set_aside && !query.tried.contains(&candidate.host)
        };
        hosts.iter().filter(is_usable).collect()
    }

    fn may_set_aside(&self, now: Timestamp, service: &ServiceName) -> bool {
        let hosts = self.hosts(service);
        let set_aside = hosts
            .iter()
            .filter(|c| self.stats.get(&c.host).is_some_and(|stats| stats.is_set_aside(now)))
            .count();
        let most = (hosts.len() / SET_ASIDE_DIVISOR).max(usize::from(hosts.len() > 1));
        set_aside < most
    }

    fn nearest(
        &self,
        now: Timestamp,
        rng: &mut Rng,
        open: &[&Candidate],
        link_allows: bool,
    ) -> Option<Route> {
        for distance in [Distance::Zone, Distance::Region, Distance::Remote] {
            if distance == Distance::Remote && !link_allows {
                return None;
            }
            let near: Vec<&Candidate> =
                open.iter().copied().filter(|c| self.distance(c) == distance).collect();
            if let Some(host) = self.less_loaded(now, rng, &near) {
                return Some(Route { host: host.clone(), distance });
            }
        }
        None
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

    /// Takes two random hosts and returns the less loaded one.
    fn less_loaded<'a>(
        &self,
        now: Timestamp,
        rng: &mut Rng,
        near: &[&'a Candidate],
    ) -> Option<&'a Candidate> {
        let mut near = near.to_vec();
        let two = rng.sample(&mut near, 2);
        two.iter().copied().min_by(|a, b| self.score(now, a).total_cmp(&self.score(now, b)))
    }

    fn score(&self, now: Timestamp, candidate: &Candidate) -> f64 {
        match self.stats.get(&candidate.host) {
            Some(stats) => stats.score(now, candidate.slots),
            None => HostStats::default().score(now, candidate.slots),
        }
    }
}
