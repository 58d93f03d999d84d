//! Control state: membership, directory and configuration of one node.

use std::net::SocketAddr;
use std::sync::Arc;

use snipehollow_config::model::{Config, ConfigDelta, ConfigState, DeltaError};
use snipehollow_config::settings::NodeSettings;
use snipehollow_core::collections::FastMap;
use snipehollow_core::ids::{HostName, Incarnation, RegionName, ServiceName, ZoneName};
use snipehollow_core::membership::{
    Directory, DirectoryConfig, DirectoryQuery, DirectoryResponse, GossipItem, GossipMessage,
    HostInfo, MemberUpdate, Membership, MembershipConfig, UpstreamInfo,
};
use snipehollow_core::rng::Rng;
use snipehollow_core::routing::Candidate;
use snipehollow_core::time::Timestamp;
use snipehollow_store::SeedList;

use crate::snapshot::Snapshot;

/// Members of a zone that watch the configuration's head.
const WATCHERS: usize = 2;
/// Members of a zone that refresh its seeds in the store.
const SEED_WRITERS: usize = 2;
/// Members of a zone that are listed as its seeds or contacts.
const SEEDS: usize = 6;

/// Control state of one node.
pub(crate) struct ControlState {
    pub(crate) membership: Membership,
    pub(crate) directory: Directory,
    pub(crate) rng: Rng,
    config: ConfigState,
    published_config: Arc<Config>,
    published: Option<(u64, u64, u64)>,
    zone: ZoneName,
    region: RegionName,
    /// Other zones named in the settings.
    zones: Vec<ZoneName>,
    default_link: u64,
    draining: bool,
    pub(crate) store_reachable: Option<bool>,
}

impl ControlState {
    pub(crate) fn new(
        settings: &NodeSettings,
        incarnation: Incarnation,
        seed: u64,
    ) -> ControlState {
        let facts = HostInfo {
            peer: settings.peer,
            control: settings.control,
            zone: settings.zone.clone(),
            region: settings.region.clone(),
            upstream: None,
        };
        let membership = Membership::new(
            MembershipConfig::new(),
            settings.host.clone(),
            incarnation,
            facts,
            settings.seeds.clone(),
        );
        let times = DirectoryConfig::new()
            .with_intervals(settings.near_pull_interval, settings.far_pull_interval);
        let mut directory = Directory::new(times);
        let others = settings.remote_zones.iter().filter(|zone| zone.zone != settings.zone);
        let mut zones = Vec::new();
        for zone in others {
            directory.add_contacts(&zone.zone, zone.region == settings.region, &zone.seeds);
            zones.push(zone.zone.clone());
        }
        ControlState {
            membership,
            directory,
            rng: Rng::new(seed),
            config: ConfigState::new(),
            published_config: Arc::default(),
            published: None,
            zone: settings.zone.clone(),
            region: settings.region.clone(),
            zones,
            default_link: settings.link_bytes_per_second,
            draining: false,
            store_reachable: None,
        }
    }

    /// Returns the configuration state.
    pub(crate) fn config(&self) -> &ConfigState {
        &self.config
    }

    /// Takes in a configuration delta.
    pub(crate) fn apply_config(&mut self, delta: &ConfigDelta) -> Result<(), DeltaError> {
        self.config.apply(delta)?;
        self.published_config = Arc::new(self.config.config());
        log::info!(revision = self.config.revision(); "configuration is in force");
        Ok(())
    }

    /// Tells the members what the local upstream says of itself.
    pub(crate) fn set_upstream(&mut self, now: Timestamp, upstream: Option<UpstreamInfo>) {
        if !self.draining {
            self.membership.set_upstream(now, upstream);
        }
    }

    /// Tells the members that this host takes no new work.
    pub(crate) fn start_drain(&mut self, now: Timestamp) {
        if !self.draining {
            self.draining = true;
            self.membership.leave(now);
        }
    }

    /// Returns the message to send with a probe or an answer.
    pub(crate) fn message(&mut self) -> GossipMessage {
        let revision = self.config.revision();
        self.membership.message(revision)
    }

    /// Takes in a message; returns its items that are not about members.
    pub(crate) fn on_message(
        &mut self,
        now: Timestamp,
        message: &GossipMessage,
    ) -> Vec<GossipItem> {
        self.membership.on_message(now, message)
    }

    /// Returns this node's own state as a member.
    pub(crate) fn own(&self) -> Option<MemberUpdate> {
        self.membership.get(self.membership.host()).map(|member| member.update.clone())
    }

    /// Tells whether this node watches the configuration's head for its zone.
    pub(crate) fn is_watcher(&self) -> bool {
        self.is_first_for("watch", WATCHERS)
    }

    /// Tells whether this node refreshes its zone's seeds in the store.
    pub(crate) fn is_seed_writer(&self) -> bool {
        self.is_first_for("seed-writer", SEED_WRITERS)
    }

    fn is_first_for(&self, key: &str, count: usize) -> bool {
        self.membership.select_by_rendezvous(key, count).contains(&self.membership.host())
    }

    /// Takes in the seeds of a zone.
    pub(crate) fn add_contacts(&mut self, seeds: &SeedList) {
        if seeds.zone == self.zone {
            self.membership.add_seeds(&seeds.addrs);
        } else {
            let near = seeds.region == self.region;
            self.directory.add_contacts(&seeds.zone, near, &seeds.addrs);
        }
    }

    /// Returns the seeds of the own zone to be listed in the store.
    ///
    /// A node that knows no other member keeps those that are `listed`: it may be the one
    /// that is cut off.
    pub(crate) fn seed_list(&self, listed: &[SocketAddr]) -> SeedList {
        let mut addrs = self.seed_addrs();
        if self.membership.live_count() <= 1 {
            addrs.extend(
                listed.iter().filter(|addr| !addrs.contains(addr)).copied().collect::<Vec<_>>(),
            );
            addrs.truncate(SEEDS);
            addrs.sort_unstable();
        }
        SeedList { zone: self.zone.clone(), region: self.region.clone(), addrs }
    }

    /// Tells whether a member of each zone named in the settings is known.
    pub(crate) fn knows_every_zone(&self) -> bool {
        self.zones.iter().all(|zone| self.directory.has_contact(zone))
    }

    /// Returns control addresses of a few live members, the same at every member.
    pub(crate) fn seed_addrs(&self) -> Vec<SocketAddr> {
        let hosts = self.membership.select_by_rendezvous("seed", SEEDS);
        let mut addrs: Vec<SocketAddr> = hosts.into_iter().filter_map(|h| self.addr(h)).collect();
        addrs.sort_unstable();
        addrs
    }

    fn addr(&self, host: &HostName) -> Option<SocketAddr> {
        self.membership.get(host).map(|member| member.update.info.control)
    }

    /// Answers a query for hosts of this zone.
    pub(crate) fn answer_directory(&self, query: &DirectoryQuery) -> DirectoryResponse {
        let hosts = self.zone_hosts();
        Directory::respond(query, &self.zone, self.seed_addrs(), |service| {
            hosts.get(service).cloned().unwrap_or_default()
        })
    }

    /// Builds a snapshot if anything changed since the last one.
    pub(crate) fn publish(&mut self) -> Option<Snapshot> {
        let version = (
            self.membership.change_count(),
            self.directory.change_count(),
            self.published_config.revision,
        );
        if self.published == Some(version) {
            return None;
        }
        self.published = Some(version);
        let mut hosts = self.zone_hosts();
        for (service, remote) in self.directory.hosts() {
            hosts.entry(service.clone()).or_default().extend(remote.iter().cloned());
        }
        Some(Snapshot {
            config: Arc::clone(&self.published_config),
            hosts,
            link_bytes_per_second: self.link_share(),
        })
    }

    /// Returns the hosts of each service in this zone, in order of their names.
    fn zone_hosts(&self) -> FastMap<ServiceName, Vec<Candidate>> {
        let mut hosts: FastMap<ServiceName, Vec<Candidate>> = FastMap::default();
        for member in self.membership.members() {
            let Some(upstream) = member.update.serving() else {
                continue;
            };
            let facts = &member.update.info;
            hosts.entry(upstream.service.clone()).or_default().push(Candidate {
                host: member.update.host.clone(),
                zone: facts.zone.clone(),
                region: facts.region.clone(),
                addr: facts.peer,
                slots: upstream.slots,
            });
        }
        for list in hosts.values_mut() {
            list.sort_by(|a, b| a.host.cmp(&b.host));
        }
        hosts
    }

    /// Returns this node's share of the narrowest link out of its region.
    fn link_share(&self) -> f64 {
        let links = &self.published_config.global.links;
        let own = links.iter().filter(|link| link.from == self.region);
        let narrowest = own.map(|link| link.bytes_per_second).min().unwrap_or(self.default_link);
        let zones = self.directory.same_region_zone_count() + 1;
        narrowest as f64 / (self.membership.live_count().max(1) * zones) as f64
    }
}
