//! Membership, directory and configuration state of one node.

use std::net::SocketAddr;
use std::sync::Arc;

use snipehollow_config::model::{Config, ConfigDelta, ConfigState, DeltaError};
use snipehollow_config::settings::NodeSettings;
use snipehollow_core::collections::FastMap;
use snipehollow_core::ids::{HostName, Incarnation, RegionName, ServiceName, ZoneName};
use snipehollow_core::membership::{
    Directory, DirectoryConfig, DirectoryQuery, DirectoryResponse, GossipItem, GossipMessage,
    HostInfo, MemberDepartures, MemberUpdate, Membership, MembershipConfig, OrderedMember, ProbeId,
    RecordedDeparture, UpstreamInfo, WatchOrder,
};
use snipehollow_core::quarantine::QuarantineChanges;
use snipehollow_core::rng::Rng;
use snipehollow_core::routing::Candidate;
use snipehollow_core::time::Timestamp;
use snipehollow_store::SeedList;

use crate::clock::unix_millis;
use crate::snapshot::Snapshot;

/// Number of members of a zone that write its seeds to the store.
const SEED_WRITERS: usize = 2;
/// Maximum number of members that are listed as seeds of their zone, or as contacts for other
/// zones.
const MAX_SEEDS: usize = 6;

/// Control state of one node.
pub(crate) struct ControlState {
    pub(crate) membership: Membership,
    pub(crate) directory: Directory,
    pub(crate) rng: Rng,
    watch_order: WatchOrder,
    member_departures: MemberDepartures,
    config: ConfigState,
    /// Configuration in force, in the form that snapshots share.
    current_config: Arc<Config>,
    /// Change counts of the members and the directory, and the configuration revision, at the last
    /// snapshot; `None` before the first.
    snapshot_version: Option<(u64, u64, u64)>,
    zone: ZoneName,
    region: RegionName,
    /// Other zones named in the settings.
    remote_zones: Vec<ZoneName>,
    /// Bandwidth of links out of this region if the configuration limits none, in bytes per second.
    default_link_bytes_per_second: u64,
    draining: bool,
    /// Whether the last call to the store succeeded; `None` while this node does not call it.
    pub(crate) store_reachable: Option<bool>,
    /// When the store should have responded to the call in progress; `None` without one.
    pub(crate) store_response_due: Option<Timestamp>,
    /// Whether this node calls the store and gets no responses, as of the last tick.
    lost_store: bool,
    /// Highest known era of the store, from its responses or from other members; 0 before the
    /// first.
    store_era: u64,
}

impl ControlState {
    pub(crate) fn new(
        settings: &NodeSettings,
        incarnation: Incarnation,
        seed: u64,
    ) -> ControlState {
        let info = HostInfo {
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
            info,
            settings.seeds.clone(),
        );
        let directory_config = DirectoryConfig::new()
            .with_intervals(settings.near_pull_interval, settings.far_pull_interval);
        let mut directory = Directory::new(directory_config);
        let others = settings.remote_zones.iter().filter(|zone| zone.zone != settings.zone);
        let mut remote_zones = Vec::new();
        for zone in others {
            directory.add_contacts(&zone.zone, zone.region == settings.region, &zone.seeds);
            remote_zones.push(zone.zone.clone());
        }
        ControlState {
            membership,
            directory,
            rng: Rng::new(seed),
            watch_order: WatchOrder::default(),
            member_departures: MemberDepartures::default(),
            config: ConfigState::new(),
            current_config: Arc::default(),
            snapshot_version: None,
            zone: settings.zone.clone(),
            region: settings.region.clone(),
            remote_zones,
            default_link_bytes_per_second: settings.link_bytes_per_second,
            draining: false,
            store_reachable: None,
            store_response_due: None,
            lost_store: false,
            store_era: 0,
        }
    }

    /// Returns the configuration state, including the sections as stored.
    pub(crate) fn config(&self) -> &ConfigState {
        &self.config
    }

    /// Applies a configuration delta; on an error, the configuration in force is unchanged.
    pub(crate) fn apply_config(&mut self, delta: &ConfigDelta) -> Result<(), DeltaError> {
        self.config.apply(delta)?;
        self.current_config = Arc::new(self.config.config());
        log::info!(revision = self.config.revision(); "configuration is in force");
        Ok(())
    }

    /// Sets the state of the local upstream that is advertised to the members.
    ///
    /// Does nothing while draining, when the node is already announced as leaving.
    pub(crate) fn set_upstream(&mut self, now: Timestamp, upstream: Option<UpstreamInfo>) {
        if !self.draining {
            self.membership.set_upstream(now, upstream);
        }
    }

    /// Announces to the members that this host is leaving.
    pub(crate) fn start_drain(&mut self, now: Timestamp) {
        if !self.draining {
            self.draining = true;
            self.membership.leave(now);
        }
    }

    /// Returns the highest known era of the store.
    pub(crate) fn store_era(&self) -> u64 {
        self.store_era
    }

    /// Records an era of the store that a response of it or a member named.
    pub(crate) fn record_store_era(&mut self, era: u64) {
        self.store_era = self.store_era.max(era);
    }

    /// Returns the gossip message to send with a probe or its response.
    pub(crate) fn gossip_message(&mut self) -> GossipMessage {
        let revision = self.config.revision();
        GossipMessage {
            store_era: self.store_era,
            lost_store: self.lost_store,
            ..self.membership.message(revision)
        }
    }

    /// Returns the response to the gossip message of a member, which also tells that member what it
    /// may have forgotten in a restart.
    pub(crate) fn gossip_response(&mut self, to: &HostName) -> GossipMessage {
        let mut message = self.gossip_message();
        message.items.extend(self.member_departures.items_for(to, unix_millis()));
        message
    }

    /// Queues departures of upstreams of this host to be sent to the other members.
    pub(crate) fn gossip_departures(&mut self, departures: &[RecordedDeparture]) {
        let host = self.membership.host().clone();
        for departure in departures {
            let item = GossipItem::Departure(host.clone(), departure.clone());
            self.membership.enqueue_gossip(item);
        }
    }

    /// Records a departure that the node of another host acknowledged, and passes it on if it is new.
    pub(crate) fn record_member_departure(&mut self, host: HostName, departure: RecordedDeparture) {
        if self.member_departures.record(&host, &departure, unix_millis()) {
            self.membership.enqueue_gossip(GossipItem::Departure(host, departure));
        }
    }

    /// Applies a gossip message and returns its items that are not about members.
    pub(crate) fn on_message(
        &mut self,
        now: Timestamp,
        message: &GossipMessage,
    ) -> Vec<GossipItem> {
        self.record_sender(now, message);
        self.membership.on_message(now, message)
    }

    /// Applies the response to a direct or indirect probe; returns the same as
    /// [`ControlState::on_message`].
    pub(crate) fn on_probe_response(
        &mut self,
        now: Timestamp,
        probe: ProbeId,
        message: &GossipMessage,
    ) -> Vec<GossipItem> {
        self.record_sender(now, message);
        self.membership.on_probe_response(now, probe, message)
    }

    /// Returns the state of this node as a member.
    pub(crate) fn own_update(&self) -> Option<MemberUpdate> {
        self.membership.get(self.membership.host()).map(|member| member.update.clone())
    }

    /// Records what the sender of a message is as a watcher of the configuration.
    fn record_sender(&mut self, now: Timestamp, message: &GossipMessage) {
        self.watch_order.record_response(&message.from);
        let was_watcher = self.is_watcher();
        self.watch_order.record_store_loss(now, &message.from, message.lost_store);
        if !was_watcher && self.is_watcher() {
            log::info!(host = message.from.as_str(); "watching in place of a member that has lost the store");
        }
    }

    /// Returns whether this node watches the configuration for its zone.
    pub(crate) fn is_watcher(&mut self) -> bool {
        self.watch_order.is_watcher(&self.membership)
    }

    /// Returns the rank of this node among the watchers of its zone; `None` if it is none of them.
    pub(crate) fn watcher_rank(&mut self) -> Option<usize> {
        self.watch_order.watcher_rank(&self.membership)
    }

    /// Returns up to `count` members that come after this node in the order of the watchers.
    pub(crate) fn watch_successors(&mut self, count: usize) -> Vec<OrderedMember> {
        self.watch_order.successors(&self.membership, count)
    }

    /// Returns whether this node calls the store and gets no responses.
    pub(crate) fn has_lost_store(&self) -> bool {
        self.lost_store
    }

    /// Updates which members have lost the store; returns whether that of this node has changed.
    pub(crate) fn update_store_losses(&mut self, now: Timestamp) -> bool {
        self.watch_order.expire_losses(now);
        let is_overdue = self.store_response_due.is_some_and(|due| now > due);
        let lost = self.store_reachable == Some(false) || is_overdue;
        std::mem::replace(&mut self.lost_store, lost) != lost
    }

    /// Returns up to `count` members whose place as watcher this node may have to take; see
    /// [`WatchOrder::predecessors`].
    pub(crate) fn watch_predecessors(&mut self, count: usize) -> Vec<OrderedMember> {
        self.watch_order.predecessors(&self.membership, count)
    }

    /// Records that a member ahead of this node in the order of the watchers does not respond.
    pub(crate) fn record_unresponsive(&mut self, host: &HostName) {
        if self.watch_order.record_failure(host) {
            let is_watcher = self.is_watcher();
            log::info!(host = host.as_str(), is_watcher; "member ahead in the order of watchers does not respond");
        }
    }

    /// Returns whether this node writes the seeds of its zone to the store.
    pub(crate) fn is_seed_writer(&self) -> bool {
        let writers = self.membership.select_by_rendezvous("seed-writer", SEED_WRITERS);
        writers.contains(&self.membership.host())
    }

    /// Adds the seeds of a zone: to the membership for the own zone, otherwise as contacts of the
    /// zone in the directory.
    pub(crate) fn add_seeds(&mut self, seeds: &SeedList) {
        if seeds.zone == self.zone {
            self.membership.add_seeds(&seeds.addrs);
        } else {
            let near = seeds.region == self.region;
            self.directory.add_contacts(&seeds.zone, near, &seeds.addrs);
        }
    }

    /// Returns the seeds of the own zone to write to the store.
    ///
    /// A node that knows no other member keeps the seeds that are already `listed`, since it may be
    /// the one that is partitioned from the zone.
    pub(crate) fn seed_list(&self, listed: &[SocketAddr]) -> SeedList {
        let mut addrs = self.seed_addrs();
        if self.membership.live_count() <= 1 {
            addrs.extend(
                listed.iter().filter(|addr| !addrs.contains(addr)).copied().collect::<Vec<_>>(),
            );
            addrs.truncate(MAX_SEEDS);
            addrs.sort_unstable();
        }
        SeedList { zone: self.zone.clone(), region: self.region.clone(), addrs }
    }

    /// Returns whether a contact is known in each zone named in the settings.
    pub(crate) fn has_contact_in_every_zone(&self) -> bool {
        self.remote_zones.iter().all(|zone| self.directory.has_contact(zone))
    }

    /// Returns the control addresses of the members to list as seeds. All members with the same
    /// view choose the same ones.
    pub(crate) fn seed_addrs(&self) -> Vec<SocketAddr> {
        let hosts = self.membership.select_by_rendezvous("seed", MAX_SEEDS);
        let mut addrs: Vec<SocketAddr> = hosts.into_iter().filter_map(|h| self.addr(h)).collect();
        addrs.sort_unstable();
        addrs
    }

    fn addr(&self, host: &HostName) -> Option<SocketAddr> {
        self.membership.get(host).map(|member| member.update.info.control)
    }

    /// Responds to a query for hosts of services in this zone. `quarantine` has the changes after the
    /// cursor of the query.
    pub(crate) fn directory_response(
        &self,
        query: &DirectoryQuery,
        quarantine: QuarantineChanges,
    ) -> DirectoryResponse {
        let hosts = self.zone_hosts();
        Directory::respond(query, &self.zone, self.seed_addrs(), quarantine, |service| {
            hosts.get(service).cloned().unwrap_or_default()
        })
    }

    /// Builds a snapshot; returns `None` if nothing has changed since the last one.
    pub(crate) fn build_snapshot(&mut self) -> Option<Snapshot> {
        let version = (
            self.membership.change_count(),
            self.directory.change_count(),
            self.current_config.revision,
        );
        if self.snapshot_version == Some(version) {
            return None;
        }
        self.snapshot_version = Some(version);
        let mut hosts = self.zone_hosts();
        for (service, remote) in self.directory.hosts() {
            hosts.entry(service.clone()).or_default().extend(remote.iter().cloned());
        }
        Some(Snapshot {
            config: Arc::clone(&self.current_config),
            hosts,
            link_bytes_per_second: self.link_share(),
        })
    }

    /// Returns the hosts of each service in this zone, sorted by name.
    fn zone_hosts(&self) -> FastMap<ServiceName, Vec<Candidate>> {
        let mut hosts: FastMap<ServiceName, Vec<Candidate>> = FastMap::default();
        for member in self.membership.members() {
            let Some(upstream) = member.update.serving() else {
                continue;
            };
            let info = &member.update.info;
            hosts.entry(upstream.service.clone()).or_default().push(Candidate {
                host: member.update.host.clone(),
                zone: info.zone.clone(),
                region: info.region.clone(),
                addr: info.peer,
                slots: upstream.slots,
            });
        }
        for list in hosts.values_mut() {
            list.sort_by(|a, b| a.host.cmp(&b.host));
        }
        hosts
    }

    /// Returns this node's share of the narrowest link out of its region, in bytes per second.
    ///
    /// Assumes that all zones of the region have as many live members as this one.
    fn link_share(&self) -> f64 {
        let links = &self.current_config.global.links;
        let own = links.iter().filter(|link| link.from == self.region);
        let narrowest = own
            .map(|link| link.bytes_per_second)
            .min()
            .unwrap_or(self.default_link_bytes_per_second);
        let zones = self.directory.same_region_zone_count() + 1;
        narrowest as f64 / (self.membership.live_count().max(1) * zones) as f64
    }
}
