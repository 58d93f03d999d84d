//! Directory of the hosts that run called services in other availability zones.
//!
//! A node pulls entries from any member of the other zone, and only for services that it called
//! recently. For an unchanged entry, only a digest is sent. An entry that cannot be refreshed
//! stays in use, because the traffic shows which of its hosts still respond.

use std::net::SocketAddr;
use std::time::Duration;

use super::rendezvous::stable_hash;
use crate::collections::FastMap;
use crate::ids::{ServiceName, ZoneName};
use crate::quarantine::{QuarantineChanges, QuarantineCursor, QuarantineEntry};
use crate::rng::Rng;
use crate::routing::Candidate;
use crate::time::Timestamp;

/// Number of pulls from a newly used zone that are made at short intervals. The hosts of the zone
/// may have started at the same time as this one and not know each other yet.
const FIRST_PULLS: u32 = 8;
/// Interval between these pulls.
const FIRST_PULL_INTERVAL: Duration = Duration::from_millis(200);
/// Time after a failed pull until another contact is asked.
const FAILED_PULL_INTERVAL: Duration = Duration::from_secs(1);
/// Maximum number of contacts that are kept for one zone.
const MAX_CONTACTS: usize = 8;

/// Intervals of a [`Directory`].
#[derive(Clone, Debug)]
pub struct DirectoryConfig {
    /// Interval between pulls from a zone in the region of this node.
    pub near_interval: Duration,
    /// Interval between pulls from a zone in another region.
    pub far_interval: Duration,
    /// How long the entries of a service are kept and refreshed after its last call.
    pub retention: Duration,
}

impl DirectoryConfig {
    /// Creates the default settings: pulls every 5 s in the same region and every 20 s in others,
    /// and services kept for 60 s after their last call.
    pub fn new() -> DirectoryConfig {
        DirectoryConfig {
            near_interval: Duration::from_secs(5),
            far_interval: Duration::from_secs(20),
            retention: Duration::from_secs(60),
        }
    }

    /// Sets the intervals between pulls from zones in the same region and in other regions.
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
    /// Service in a directory query, with a digest of the hosts known so far.
    // Name of the type in error messages that leave the process.
    #[serde(expecting = "struct WantedService")]
    pub struct ServiceDigest {
        /// Service whose hosts are requested.
        pub service: ServiceName,
        /// Digest of the hosts that the requesting node knows; see [`Directory::digest`].
        pub digest: u64,
    }

    /// Query for the hosts of services in the zone of the responding node.
    pub struct DirectoryQuery {
        /// Services whose hosts are requested.
        #[serde(deserialize_with = "crate::lenient::readable_entries")]
        pub services: Vec<ServiceDigest>,
        /// Changes of the zone's quarantine that the requesting node knows; `None` before the first
        /// response.
        #[serde(default)]
        pub quarantine_cursor: Option<QuarantineCursor>,
    }

    /// Response to a [`DirectoryQuery`].
    pub struct DirectoryResponse {
        /// Zone of the responding node.
        pub zone: ZoneName,
        /// Services whose digests differ, each with all its hosts in the zone.
        #[serde(deserialize_with = "crate::lenient::readable_entries")]
        pub changed: Vec<ServiceHosts>,
        /// Control addresses of members of the zone that later pulls may use.
        #[serde(deserialize_with = "crate::lenient::readable_entries")]
        pub contacts: Vec<SocketAddr>,
        /// Suspected and quarantined requests that the responding node knows of and that changed after
        /// the cursor of the query.
        #[serde(default, deserialize_with = "crate::lenient::readable_entries")]
        pub quarantine: Vec<QuarantineEntry>,
        /// Position after these changes; `None` from nodes that send no cursors.
        #[serde(default)]
        pub quarantine_cursor: Option<QuarantineCursor>,
        /// Whether more changes of the quarantine follow.
        #[serde(default)]
        pub has_more_quarantine: bool,
    }

    /// Hosts of one service in one zone.
    pub struct ServiceHosts {
        /// Service that the hosts run.
        pub service: ServiceName,
        /// Hosts that accept requests, sorted by name.
        #[serde(deserialize_with = "crate::lenient::readable_entries")]
        pub hosts: Vec<Candidate>,
    }
}

/// Action that the caller has to carry out, because [`Directory`] does no input and output itself.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum DirectoryAction {
    /// Send the query to a member of a zone, then call `on_pull_response` or `on_pull_failed`.
    Pull {
        /// Zone that the pull is from.
        zone: ZoneName,
        /// Control address of the member.
        from: SocketAddr,
        /// Query to send.
        query: DirectoryQuery,
    },
}

/// Hosts and contacts of one other zone.
#[derive(Clone, Debug)]
struct ZoneEntry {
    /// Control addresses of members; the first one is asked next.
    contacts: Vec<SocketAddr>,
    same_region: bool,
    pull_interval: Duration,
    next_pull: Timestamp,
    pull_count: u32,
    services: FastMap<ServiceName, Vec<Candidate>>,
    /// Changes of the zone's quarantine that were received.
    quarantine_cursor: Option<QuarantineCursor>,
}

/// Hosts of recently called services in the other zones.
#[derive(Clone, Debug)]
pub struct Directory {
    cfg: DirectoryConfig,
    zones: FastMap<ZoneName, ZoneEntry>,
    /// Time of the last call of each recently called service.
    last_calls: FastMap<ServiceName, Timestamp>,
    change_count: u64,
}

impl Directory {
    /// Creates a directory without zones.
    pub fn new(cfg: DirectoryConfig) -> Directory {
        Directory {
            cfg,
            zones: FastMap::default(),
            last_calls: FastMap::default(),
            change_count: 0,
        }
    }

    /// Adds control addresses of members of another zone.
    ///
    /// `same_region` is whether the zone is in the region of this node.
    pub fn add_contacts(&mut self, zone: &ZoneName, same_region: bool, contacts: &[SocketAddr]) {
        let pull_interval =
            if same_region { self.cfg.near_interval } else { self.cfg.far_interval };
        let entry = self.zones.entry(zone.clone()).or_insert_with(|| ZoneEntry {
            contacts: Vec::new(),
            same_region,
            pull_interval,
            next_pull: Timestamp::ZERO,
            pull_count: 0,
            services: FastMap::default(),
            quarantine_cursor: None,
        });
        for contact in contacts {
            if !entry.contacts.contains(contact) && entry.contacts.len() < MAX_CONTACTS {
                entry.contacts.push(*contact);
            }
        }
    }

    /// Records a call of a service.
    ///
    /// Returns whether the service was not called recently, in which case a pull from every zone is
    /// due now.
    pub fn record_call(&mut self, now: Timestamp, service: &ServiceName) -> bool {
        let is_new = self.last_calls.insert(service.clone(), now).is_none();
        if is_new {
            self.zones.values_mut().for_each(|zone| zone.next_pull = now);
        }
        is_new
    }

    /// Returns a counter that increases with every change of the hosts.
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

    /// Returns the number of other zones in the region of this node.
    pub fn same_region_zone_count(&self) -> usize {
        self.zones.values().filter(|zone| zone.same_region).count()
    }

    /// Returns whether a contact of a zone is known.
    pub fn has_contact(&self, zone: &ZoneName) -> bool {
        self.zones.get(zone).is_some_and(|zone| !zone.contacts.is_empty())
    }

    /// Returns the next contact of a random other zone that is not blocked.
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

    /// Returns up to `count` random contacts of each other zone.
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
        self.evict_unused_services(now);
        if self.last_calls.is_empty() {
            return Vec::new();
        }
        let last_calls = &self.last_calls;
        let mut names: Vec<&ZoneName> = self.zones.keys().collect();
        names.sort_unstable();
        let names: Vec<ZoneName> = names.into_iter().cloned().collect();
        let mut actions = Vec::new();
        for name in names {
            let Some(zone) = self.zones.get_mut(&name).filter(|zone| zone.next_pull <= now) else {
                continue;
            };
            zone.next_pull = now + zone.interval_or(zone.pull_interval);
            let Some(from) = zone.contacts.first().copied() else {
                continue;
            };
            zone.pull_count += 1;
            let query = zone.query(last_calls);
            actions.push(DirectoryAction::Pull { zone: name, from, query });
        }
        actions
    }

    /// Applies the response to a pull from a zone, whose quarantine entries the caller has merged.
    ///
    /// If more of them follow, the next pull is due at once.
    pub fn on_pull_response(&mut self, zone: &ZoneName, response: DirectoryResponse) {
        let Some(entry) = self.zones.get_mut(zone) else {
            return;
        };
        if response.zone != *zone {
            // The address was reused by a host of another zone, so the next contact is asked.
            entry.rotate_contacts();
            return;
        }
        for contact in response.contacts {
            if !entry.contacts.contains(&contact) {
                entry.contacts.push(contact);
            }
        }
        entry.quarantine_cursor = response.quarantine_cursor;
        if response.has_more_quarantine {
            entry.next_pull = Timestamp::ZERO;
        }
        let excess = entry.contacts.len().saturating_sub(MAX_CONTACTS);
        entry.contacts.drain(1..=excess);
        for changed in response.changed {
            entry.services.insert(changed.service, changed.hosts);
            self.change_count += 1;
        }
    }

    /// Records that a pull failed, so that another contact is asked soon.
    pub fn on_pull_failed(&mut self, now: Timestamp, zone: &ZoneName) {
        if let Some(entry) = self.zones.get_mut(zone) {
            entry.rotate_contacts();
            entry.next_pull = now + entry.interval_or(FAILED_PULL_INTERVAL);
        }
    }

    /// Returns a digest of a list of hosts that covers their order, names, addresses and slots.
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

    /// Returns the response to a query, from the hosts in the zone of this node.
    ///
    /// `hosts_of` returns the hosts of a service, and `contacts` are sent along for later pulls.
    /// `quarantine` has the changes after the cursor of the query.
    pub fn respond(
        query: &DirectoryQuery,
        zone: &ZoneName,
        contacts: Vec<SocketAddr>,
        quarantine: QuarantineChanges,
        hosts_of: impl Fn(&ServiceName) -> Vec<Candidate>,
    ) -> DirectoryResponse {
        let changed = query
            .services
            .iter()
            .map(|known| (known, hosts_of(&known.service)))
            .filter(|(known, hosts)| Directory::digest(hosts) != known.digest)
            .map(|(known, hosts)| ServiceHosts { service: known.service.clone(), hosts })
            .collect();
        DirectoryResponse {
            zone: zone.clone(),
            changed,
            contacts,
            quarantine: quarantine.entries,
            quarantine_cursor: Some(quarantine.cursor),
            has_more_quarantine: quarantine.has_more,
        }
    }

    /// Evicts the services that were not called recently.
    fn evict_unused_services(&mut self, now: Timestamp) {
        let count_before = self.last_calls.len();
        let retention = self.cfg.retention;
        self.last_calls.retain(|_, at| now.since(*at) < retention);
        if self.last_calls.len() == count_before {
            return;
        }
        for zone in self.zones.values_mut() {
            zone.services.retain(|service, _| self.last_calls.contains_key(service));
        }
        self.change_count += 1;
    }
}

impl ZoneEntry {
    /// Returns the short interval during the first pulls, and `regular` after them.
    fn interval_or(&self, regular: Duration) -> Duration {
        if self.pull_count < FIRST_PULLS { FIRST_PULL_INTERVAL } else { regular }
    }

    /// Moves the contact that is asked next to the end of the list.
    fn rotate_contacts(&mut self) {
        if self.contacts.len() > 1 {
            self.contacts.rotate_left(1);
        }
    }

    /// Returns the query for the recently called services.
    fn query(&self, last_calls: &FastMap<ServiceName, Timestamp>) -> DirectoryQuery {
        let mut names: Vec<&ServiceName> = last_calls.keys().collect();
        names.sort_unstable();
        let services = names
            .into_iter()
            .map(|service| {
                let known = self.services.get(service).map_or(&[][..], Vec::as_slice);
                ServiceDigest { service: service.clone(), digest: Directory::digest(known) }
            })
            .collect();
        DirectoryQuery { services, quarantine_cursor: self.quarantine_cursor.clone() }
    }
}
