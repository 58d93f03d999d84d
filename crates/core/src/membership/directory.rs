//! Hosts of called services in other availability zones.
//!
//! Entries are pulled from any member of the other zone, and only for services that this
//! node called lately. An unchanged entry costs a digest. An entry that cannot be refreshed
//! stays in use: traffic shows which of its hosts still answer.

use std::net::SocketAddr;
use std::time::Duration;

use super::rendezvous::stable_hash;
use crate::collections::FastMap;
use crate::ids::{ServiceName, ZoneName};
use crate::quarantine::QuarantineEntry;
use crate::rng::Rng;
use crate::routing::Candidate;
use crate::time::Timestamp;

/// First pulls from a zone, which are made in quick succession: its hosts may have started at
/// the same time as this one and not know each other yet.
const FIRST_PULLS: u32 = 8;
/// Time between these.
const FIRST_INTERVAL: Duration = Duration::from_millis(200);
/// Time after which another contact is asked when one did not answer.
const FAILED_INTERVAL: Duration = Duration::from_secs(1);
/// Most contacts that are remembered of one zone.
const MAX_CONTACTS: usize = 8;

/// Times of a [`Directory`].
#[derive(Clone, Debug)]
pub struct DirectoryConfig {
    /// Time between two pulls from a zone of the own region.
    pub near_interval: Duration,
    /// Time between two pulls from a zone of another region.
    pub far_interval: Duration,
    /// Time after the last call for which a service is refreshed.
    pub retention: Duration,
}

impl DirectoryConfig {
    /// Creates the default times: 5 s near, 20 s far, 60 s wanted.
    pub fn new() -> DirectoryConfig {
        DirectoryConfig {
            near_interval: Duration::from_secs(5),
            far_interval: Duration::from_secs(20),
            retention: Duration::from_secs(60),
        }
    }

    /// Sets the time between two pulls from a zone of the own region and of another region.
    pub fn with_intervals(mut self, near: Duration, far: Duration) -> DirectoryConfig {
        self.near_interval = near;
        self.far_interval = far;
        self
    }
}

impl Default for DirectoryConfig {
    fn default() -> DirectoryConfig {
        DirectoryConfig::new()
    }
}

data_type! {
    /// A service whose hosts are asked for.
    pub struct ServiceDigest {
        /// Name of the service.
        pub service: ServiceName,
        /// Digest of the hosts that the asking node knows.
        pub digest: u64,
    }

    /// Request for the hosts of services in the answering node's zone.
    pub struct DirectoryQuery {
        /// The services.
        pub services: Vec<ServiceDigest>,
    }

    /// Hosts of the services that changed.
    pub struct DirectoryResponse {
        /// Zone of the answering node.
        pub zone: ZoneName,
        /// Services that changed, each with all its hosts in the zone.
        pub changed: Vec<ServiceHosts>,
        /// Members of the zone that may be asked next.
        pub contacts: Vec<SocketAddr>,
        /// Suspected and quarantined requests that the answering node knows of.
        #[serde(default)]
        pub quarantine: Vec<QuarantineEntry>,
    }

    /// Hosts of one service in one zone.
    pub struct ServiceHosts {
        /// Name of the service.
        pub service: ServiceName,
        /// Hosts that take work, in order of their names.
        pub hosts: Vec<Candidate>,
    }
}

/// What the caller has to do.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum DirectoryAction {
    /// Send the query to a member of a zone; report with `on_pull_response` or `on_pull_failed`.
    Pull {
        /// The zone.
        zone: ZoneName,
        /// Address of the member.
        from: SocketAddr,
        /// The query.
        query: DirectoryQuery,
    },
}

#[derive(Clone, Debug)]
struct Zone {
    contacts: Vec<SocketAddr>,
    near: bool,
    interval: Duration,
    next_pull: Timestamp,
    pulls: u32,
    services: FastMap<ServiceName, Vec<Candidate>>,
}

/// Hosts of called services in other zones.
#[derive(Clone, Debug)]
pub struct Directory {
    cfg: DirectoryConfig,
    zones: FastMap<ZoneName, Zone>,
    wanted: FastMap<ServiceName, Timestamp>,
    change_count: u64,
}

impl Directory {
    /// Creates a directory that knows no other zone.
    pub fn new(cfg: DirectoryConfig) -> Directory {
        Directory { cfg, zones: FastMap::default(), wanted: FastMap::default(), change_count: 0 }
    }

    /// Adds contacts of another zone; `near` tells whether it is in the own region.
    pub fn add_contacts(&mut self, zone: &ZoneName, near: bool, contacts: &[SocketAddr]) {
        let interval = if near { self.cfg.near_interval } else { self.cfg.far_interval };
        let entry = self.zones.entry(zone.clone()).or_insert_with(|| Zone {
            contacts: Vec::new(),
            near,
            interval,
            next_pull: Timestamp::ZERO,
            pulls: 0,
            services: FastMap::default(),
        });
        for contact in contacts {
            if !entry.contacts.contains(contact) && entry.contacts.len() < MAX_CONTACTS {
                entry.contacts.push(*contact);
            }
        }
    }

    /// Records that a service was called; returns true if it is new, so that a pull is due.
    pub fn record_call(&mut self, now: Timestamp, service: &ServiceName) -> bool {
        let new = self.wanted.insert(service.clone(), now).is_none();
        if new {
            self.zones.values_mut().for_each(|zone| zone.next_pull = now);
        }
        new
    }

    /// Returns a number that rises with every change of the hosts.
    pub fn change_count(&self) -> u64 {
        self.change_count
    }

    /// Iterates over the hosts of each service in each other zone.
    pub fn hosts(&self) -> impl Iterator<Item = (&ServiceName, &[Candidate])> {
        self.zones
            .values()
            .flat_map(|zone| zone.services.iter())
            .map(|(service, hosts)| (service, hosts.as_slice()))
    }

    /// Returns the number of other zones in the own region.
    pub fn same_region_zone_count(&self) -> usize {
        self.zones.values().filter(|zone| zone.near).count()
    }

    /// Tells whether a member of a zone is known.
    pub fn has_contact(&self, zone: &ZoneName) -> bool {
        self.zones.get(zone).is_some_and(|zone| !zone.contacts.is_empty())
    }

    /// Returns a contact of a random other zone that is not blocked.
    pub fn random_contact(&self, rng: &mut Rng, blocked: &[ZoneName]) -> Option<SocketAddr> {
        let mut contacts: Vec<SocketAddr> = self
            .zones
            .iter()
            .filter(|(name, _)| !blocked.contains(name))
            .filter_map(|(_, zone)| zone.contacts.first().copied())
            .collect();
        contacts.sort_unstable();
        rng.sample(&mut contacts, 1).first().copied()
    }

    /// Returns a few random contacts of each other zone.
    pub fn random_contacts(&self, rng: &mut Rng, count: usize) -> Vec<SocketAddr> {
        let mut names: Vec<&ZoneName> = self.zones.keys().collect();
        names.sort_unstable();
        let mut chosen = Vec::new();
        for name in names {
            let mut contacts = self.zones[name].contacts.clone();
            chosen.extend(rng.sample(&mut contacts, count).iter().copied());
        }
        chosen
    }

    /// Returns the pulls that are due.
    ///
    /// ```
    /// use snipehollow_core::ids::{ServiceName, ZoneName};
    /// use snipehollow_core::membership::{Directory, DirectoryConfig};
    /// use snipehollow_core::time::Timestamp;
    ///
    /// let mut directory = Directory::new(DirectoryConfig::new());
    /// let zone = ZoneName::new("gauteng-b").unwrap();
    /// directory.add_contacts(&zone, true, &["127.0.0.1:7000".parse().unwrap()]);
    /// assert!(directory.tick(Timestamp::ZERO).is_empty());
    /// directory.record_call(Timestamp::ZERO, &ServiceName::new("orders").unwrap());
    /// assert_eq!(directory.tick(Timestamp::ZERO).len(), 1);
    /// ```
    pub fn tick(&mut self, now: Timestamp) -> Vec<DirectoryAction> {
        self.forget_unwanted(now);
        if self.wanted.is_empty() {
            return Vec::new();
        }
        let wanted = &self.wanted;
        let mut names: Vec<&ZoneName> = self.zones.keys().collect();
        names.sort_unstable();
        let names: Vec<ZoneName> = names.into_iter().cloned().collect();
        let mut actions = Vec::new();
        for name in names {
            let Some(zone) = self.zones.get_mut(&name).filter(|zone| zone.next_pull <= now) else {
                continue;
            };
            zone.next_pull = now + zone.interval_or(zone.interval);
            let Some(from) = zone.contacts.first().copied() else {
                continue;
            };
            zone.pulls += 1;
            let query = zone.query(wanted);
            actions.push(DirectoryAction::Pull { zone: name, from, query });
        }
        actions
    }

    /// Takes in an answer.
    pub fn on_pull_response(&mut self, zone: &ZoneName, answer: DirectoryResponse) {
        let Some(entry) = self.zones.get_mut(zone) else {
            return;
        };
        if answer.zone != *zone {
            // The address now belongs to a host of another zone.
            entry.rotate_contacts();
            return;
        }
        for contact in answer.contacts {
            if !entry.contacts.contains(&contact) {
                entry.contacts.push(contact);
            }
        }
        let excess = entry.contacts.len().saturating_sub(MAX_CONTACTS);
        entry.contacts.drain(1..=excess);
        for changed in answer.changed {
            entry.services.insert(changed.service, changed.hosts);
            self.change_count += 1;
        }
    }

    /// Records that a pull failed: another contact is asked soon.
    pub fn on_pull_failed(&mut self, now: Timestamp, zone: &ZoneName) {
        if let Some(entry) = self.zones.get_mut(zone) {
            entry.rotate_contacts();
            entry.next_pull = now + entry.interval_or(FAILED_INTERVAL);
        }
    }

    /// Returns the digest of a list of hosts.
    pub fn digest(hosts: &[Candidate]) -> u64 {
        hosts.iter().fold(hosts.len() as u64, |digest, candidate| {
            let addr = candidate.addr.to_string();
            let parts = [
                candidate.host.as_str().as_bytes(),
                addr.as_bytes(),
                &candidate.slots.to_le_bytes(),
            ];
            digest.rotate_left(1) ^ stable_hash(&parts)
        })
    }

    /// Answers a query from the hosts of the own zone.
    pub fn respond(
        query: &DirectoryQuery,
        zone: &ZoneName,
        contacts: Vec<SocketAddr>,
        hosts_of: impl Fn(&ServiceName) -> Vec<Candidate>,
    ) -> DirectoryResponse {
        let changed = query
            .services
            .iter()
            .map(|wanted| (wanted, hosts_of(&wanted.service)))
            .filter(|(wanted, hosts)| Directory::digest(hosts) != wanted.digest)
            .map(|(wanted, hosts)| ServiceHosts { service: wanted.service.clone(), hosts })
            .collect();
        DirectoryResponse { zone: zone.clone(), changed, contacts, quarantine: Vec::new() }
    }

    fn forget_unwanted(&mut self, now: Timestamp) {
        let before = self.wanted.len();
        let retention = self.cfg.retention;
        self.wanted.retain(|_, at| now.since(*at) < retention);
        if self.wanted.len() == before {
            return;
        }
        for zone in self.zones.values_mut() {
            zone.services.retain(|service, _| self.wanted.contains_key(service));
        }
        self.change_count += 1;
    }
}

impl Zone {
    /// Returns the time until the next pull; `settled` after the first pulls.
    fn interval_or(&self, settled: Duration) -> Duration {
        if self.pulls < FIRST_PULLS { FIRST_INTERVAL } else { settled }
    }

    fn rotate_contacts(&mut self) {
        if self.contacts.len() > 1 {
            self.contacts.rotate_left(1);
        }
    }

    fn query(&self, wanted: &FastMap<ServiceName, Timestamp>) -> DirectoryQuery {
        let mut names: Vec<&ServiceName> = wanted.keys().collect();
        names.sort_unstable();
        let services = names
            .into_iter()
            .map(|service| {
                let known = self.services.get(service).map_or(&[][..], Vec::as_slice);
                ServiceDigest { service: service.clone(), digest: Directory::digest(known) }
            })
            .collect();
        DirectoryQuery { services }
    }
}
