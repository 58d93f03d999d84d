//! Membership of one availability zone, by the SWIM protocol.

mod exchange;
mod healing;

use std::net::SocketAddr;
use std::time::Duration;

use super::action::{MemberAction, ProbeId};
use super::config::MembershipConfig;
use super::gossip::{GossipItem, GossipMessage, GossipQueue};
use super::member::{GossipedMember, HostInfo, Member, MemberState, MemberUpdate, UpstreamInfo};
use super::probes::{Probe, Probes};
use super::rendezvous::rank_by_rendezvous;
use super::sync::BucketDigests;
use crate::collections::{FastMap, FastSet};
use crate::ids::{HostName, Incarnation};
use crate::rng::Rng;
use crate::time::Timestamp;

/// How this node learned of an update.
///
/// Updates from a synchronization are not gossiped again: other nodes that miss them synchronize
/// too, and gossiping the state of a whole zone would delay new changes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Source {
    Gossip,
    Sync,
}

/// Number of messages with a differing digest that triggers a synchronization.
const MISMATCHES_TO_SYNC: u32 = 4;
/// Number of periods between two probes of a dead member, which detect that a partition has
/// healed.
const DEAD_PROBE_PERIODS: u64 = 5;

/// State of the membership protocol at one node.
#[derive(Clone, Debug)]
pub struct Membership {
    cfg: MembershipConfig,
    host: HostName,
    members: FastMap<HostName, Member>,
    digests: BucketDigests,
    /// Number of live members, this node included.
    live: usize,
    suspects: FastSet<HostName>,
    gossip: GossipQueue,
    probes: Probes,
    /// Members that are still to be probed in the current round, in random order.
    round: Vec<HostName>,
    seeds: Vec<SocketAddr>,
    /// Number of protocol periods since the start of this node.
    periods: u64,
    next_period: Timestamp,
    last_tick: Option<Timestamp>,
    last_sync: Option<Timestamp>,
    /// Number of messages with a differing digest since the last synchronization.
    mismatches: u32,
    /// Sender of the last message with a differing digest.
    last_differing: Option<HostName>,
    change_count: u64,
}

impl Membership {
    /// Creates the state of a node that knows only itself and the control addresses of its seeds.
    pub fn new(
        cfg: MembershipConfig,
        host: HostName,
        incarnation: Incarnation,
        info: HostInfo,
        seeds: Vec<SocketAddr>,
    ) -> Membership {
        let seeds = seeds.into_iter().filter(|seed| *seed != info.control).collect();
        let mut membership = Membership {
            cfg,
            host: host.clone(),
            members: FastMap::default(),
            digests: BucketDigests::empty(),
            live: 0,
            suspects: FastSet::default(),
            gossip: GossipQueue::default(),
            probes: Probes::default(),
            round: Vec::new(),
            seeds,
            periods: 0,
            next_period: Timestamp::ZERO,
            last_tick: None,
            last_sync: None,
            mismatches: 0,
            last_differing: None,
            change_count: 0,
        };
        let update = MemberUpdate { host, incarnation, state: MemberState::Alive, info };
        membership.store(Timestamp::ZERO, update);
        membership
    }

    /// Returns the name of this node's host.
    pub fn host(&self) -> &HostName {
        &self.host
    }

    /// Returns the current incarnation of this node.
    pub fn incarnation(&self) -> Incarnation {
        self.own().update.incarnation
    }

    /// Returns a counter that increases with every change of the members.
    pub fn change_count(&self) -> u64 {
        self.change_count
    }

    /// Iterates over all members, this node included.
    pub fn members(&self) -> impl Iterator<Item = &Member> {
        self.members.values()
    }

    /// Returns the member on this host, if it is known.
    pub fn get(&self, host: &HostName) -> Option<&Member> {
        self.members.get(host)
    }

    /// Returns the number of live members, this node included.
    pub fn live_count(&self) -> usize {
        self.live
    }

    /// Returns the `count` live members with the highest rendezvous hash for `key`.
    pub fn select_by_rendezvous(&self, key: &str, count: usize) -> Vec<&HostName> {
        let live = self.members.values().filter(|m| m.is_live()).map(|m| &m.update.host);
        rank_by_rendezvous(key, live, count)
    }

    /// Returns the control addresses of up to `count` random live members, this node excluded.
    pub fn random_live(&self, rng: &mut Rng, count: usize) -> Vec<SocketAddr> {
        let mut live: Vec<SocketAddr> =
            self.others().filter(|m| m.is_live()).map(|m| m.update.info.control).collect();
        live.sort_unstable();
        rng.sample(&mut live, count).to_vec()
    }

    /// Adds control addresses of seeds, for example those read from the store.
    pub fn add_seeds(&mut self, seeds: &[SocketAddr]) {
        let own = self.own().update.info.control;
        for seed in seeds {
            if *seed != own && !self.seeds.contains(seed) {
                self.seeds.push(*seed);
            }
        }
    }

    /// Changes the upstream that this host advertises, and raises the incarnation if it differs.
    pub fn set_upstream(&mut self, now: Timestamp, upstream: Option<UpstreamInfo>) {
        let own = self.own().update.clone();
        if own.info.upstream == upstream {
            return;
        }
        let info = HostInfo { upstream, ..own.info };
        self.raise_incarnation(now, own.incarnation, MemberState::Alive, info);
    }

    /// Announces that this host leaves in a planned shutdown.
    pub fn leave(&mut self, now: Timestamp) {
        let own = self.own().update.clone();
        self.raise_incarnation(now, own.incarnation, MemberState::Left, own.info);
    }

    /// Queues a change that is not about a member to be piggybacked on messages.
    pub fn enqueue_gossip(&mut self, item: GossipItem) {
        self.gossip.push(item);
    }

    /// Advances the timers of probes, suspicions and seed contacts, and returns the actions that
    /// are due. Should be called several times a period.
    ///
    /// ```
    /// use snipehollow_core::ids::{HostName, Incarnation, RegionName, ZoneName};
    /// use snipehollow_core::membership::{HostInfo, MemberAction, Membership, MembershipConfig};
    /// use snipehollow_core::rng::Rng;
    /// use snipehollow_core::time::Timestamp;
    ///
    /// let info = HostInfo {
    ///     peer: "127.0.0.1:7000".parse().unwrap(),
    ///     control: "127.0.0.1:7100".parse().unwrap(),
    ///     zone: ZoneName::new("gauteng-a").unwrap(),
    ///     region: RegionName::new("gauteng").unwrap(),
    ///     upstream: None,
    /// };
    /// let seed = "127.0.0.1:7101".parse().unwrap();
    /// let mut membership = Membership::new(
    ///     MembershipConfig::new(),
    ///     HostName::new("host-1").unwrap(),
    ///     Incarnation(1),
    ///     info,
    ///     vec![seed],
    /// );
    /// let actions = membership.tick(Timestamp::ZERO, &mut Rng::new(1));
    /// assert_eq!(actions, [MemberAction::Sync { with: seed }]);
    /// ```
    pub fn tick(&mut self, now: Timestamp, rng: &mut Rng) -> Vec<MemberAction> {
        let mut actions = Vec::new();
        let gap = self.last_tick.map_or(Duration::ZERO, |last| now.since(last));
        self.last_tick = Some(now);
        if gap > self.cfg.pause_threshold {
            self.resume(gap);
            actions.push(MemberAction::Resumed { gap });
        }
        self.time_out_probes(now, rng, &mut actions);
        self.time_out_suspects(now);
        if now >= self.next_period {
            self.next_period = now + self.period();
            self.periods += 1;
            self.start_period(now, rng, &mut actions);
        }
        actions
    }

    /// Returns the message to send with a probe or a response to one.
    ///
    /// `revision` is the revision of the configuration in force here. Every call counts the
    /// included changes as sent once.
    pub fn message(&mut self, revision: u64) -> GossipMessage {
        let members = self.live_count();
        GossipMessage {
            from: self.host.clone(),
            items: self.gossip.take(members),
            digest: self.digests.total(),
            revision,
            store_era: 0,
            lost_store: false,
        }
    }

    /// Applies the message of a probe or of a response to one.
    ///
    /// Returns the items that are not about members, for the caller to apply.
    pub fn on_message(&mut self, now: Timestamp, message: &GossipMessage) -> Vec<GossipItem> {
        let mut other_items = Vec::new();
        for item in &message.items {
            match item {
                GossipItem::Member(member) => self.merge(now, member, Source::Gossip),
                GossipItem::Quarantine(..) | GossipItem::Departure(..) => {
                    other_items.push(item.clone());
                }
            }
        }
        self.gossip_suspicion_of(&message.from);
        if message.digest != self.digests.total() {
            // Messages with an equal digest do not reset the count: the few members whose digests
            // differ may know of changes that the majority misses.
            self.mismatches += 1;
            self.last_differing = Some(message.from.clone());
        }
        other_items
    }

    /// Applies the response to a direct or indirect probe.
    ///
    /// Returns the items that are not about members, for the caller to apply.
    pub fn on_probe_response(
        &mut self,
        now: Timestamp,
        probe: ProbeId,
        message: &GossipMessage,
    ) -> Vec<GossipItem> {
        self.probes.complete(probe);
        self.on_message(now, message)
    }

    /// Records that a direct probe failed or timed out, and returns the indirect probes to send.
    pub fn on_probe_failed(&mut self, probe: ProbeId, rng: &mut Rng) -> Vec<MemberAction> {
        let Some(Probe { host, addr: target, .. }) = self.probes.make_indirect(probe) else {
            return Vec::new();
        };
        let mut probers: Vec<SocketAddr> = self
            .others()
            .filter(|m| m.update.state == MemberState::Alive && m.update.host != host)
            .map(|m| m.update.info.control)
            .collect();
        probers.sort_unstable();
        rng.sample(&mut probers, self.cfg.indirect_probes)
            .iter()
            .map(|via| MemberAction::ProbeVia { probe, via: *via, target })
            .collect()
    }

    fn own(&self) -> &Member {
        // The entry always exists: `new` inserts it and nothing removes it.
        &self.members[&self.host]
    }

    fn others(&self) -> impl Iterator<Item = &Member> {
        self.members.values().filter(|member| member.update.host != self.host)
    }

    fn start_period(&mut self, now: Timestamp, rng: &mut Rng, actions: &mut Vec<MemberAction>) {
        self.evict_expired(now);
        if let Some(host) = self.next_target(rng) {
            actions.extend(self.probe(now, &host));
        }
        if self.periods.is_multiple_of(DEAD_PROBE_PERIODS)
            && let Some(host) = self.random_dead(rng)
        {
            actions.extend(self.probe(now, &host));
        }
        self.contact_seeds(now, rng, actions);
        self.sync_after_mismatches(now, rng, actions);
    }

    fn probe(&mut self, now: Timestamp, host: &HostName) -> Option<MemberAction> {
        let to = self.members.get(host)?.update.info.control;
        let probe = self.probes.start(now, host, to);
        Some(MemberAction::Probe { probe, to })
    }

    /// Returns the next member to probe. The members are shuffled for each round, and every live
    /// one is probed once in it.
    fn next_target(&mut self, rng: &mut Rng) -> Option<HostName> {
        for _ in 0..2 {
            while let Some(host) = self.round.pop() {
                if self.members.get(&host).is_some_and(Member::is_live) {
                    return Some(host);
                }
            }
            self.round =
                self.others().filter(|m| m.is_live()).map(|m| m.update.host.clone()).collect();
            self.round.sort_unstable();
            let count = self.round.len();
            rng.sample(&mut self.round, count);
        }
        None
    }

    fn time_out_probes(&mut self, now: Timestamp, rng: &mut Rng, actions: &mut Vec<MemberAction>) {
        let timed_out = self.probes.time_out(now, &self.cfg);
        for id in timed_out.direct {
            actions.extend(self.on_probe_failed(id, rng));
        }
        for host in timed_out.failed {
            self.suspect(now, &host);
        }
    }

    /// Suspects a member that is alive.
    fn suspect(&mut self, now: Timestamp, host: &HostName) {
        let Some(member) = self.members.get(host) else {
            return;
        };
        if member.update.state != MemberState::Alive {
            return;
        }
        let update = MemberUpdate { state: MemberState::Suspect, ..member.update.clone() };
        self.apply_and_gossip(now, update);
    }

    /// Declares suspects dead that did not refute the suspicion in time.
    fn time_out_suspects(&mut self, now: Timestamp) {
        let mut dead: Vec<MemberUpdate> = self
            .suspects
            .iter()
            .filter_map(|host| self.members.get(host))
            .filter(|m| now.since(m.changed_at) >= self.cfg.suspicion_timeout)
            .map(|m| MemberUpdate { state: MemberState::Dead, ..m.update.clone() })
            .collect();
        dead.sort_by(|a, b| a.host.cmp(&b.host));
        for update in dead {
            self.apply_and_gossip(now, update);
        }
    }

    /// Corrects the timers after a pause of this process, so that a timeout that passed during the
    /// pause does not make other members suspects or dead. Also requests a synchronization.
    fn resume(&mut self, gap: Duration) {
        self.probes.clear();
        for member in self.members.values_mut() {
            member.changed_at = member.changed_at + gap;
        }
        self.last_sync = None;
        self.mismatches = MISMATCHES_TO_SYNC;
    }

    fn evict_expired(&mut self, now: Timestamp) {
        let mut expired: Vec<HostName> = self
            .others()
            .filter(|m| !m.is_live() && now.since(m.changed_at) >= self.cfg.retention)
            .map(|m| m.update.host.clone())
            .collect();
        expired.sort_unstable();
        for host in expired {
            self.members.remove(&host);
        }
    }

    /// Applies an update from another node if it is newer than the known state.
    fn merge(&mut self, now: Timestamp, gossiped: &GossipedMember, source: Source) {
        if !gossiped.incarnation.is_plausible() {
            return;
        }
        let known = self.members.get(&gossiped.host);
        // An update without metadata about an unknown host is ignored: that host is not alive.
        let Some(update) = gossiped.to_update(known.map(|member| &member.update.info)) else {
            return;
        };
        if update.host == self.host {
            self.refute(now, &update);
            return;
        }
        let is_newer = known.is_none_or(|member| update.supersedes(&member.update));
        if source == Source::Sync {
            if is_newer {
                self.store(now, update);
            }
            return;
        }
        match known {
            Some(member) if update.supersedes(&member.update) => self.apply_and_gossip(now, update),
            Some(member) if member.update.supersedes(&update) => {
                // The sender has an older state, so the newer one is gossiped again.
                let newer = GossipedMember::from_update(&member.update);
                self.gossip.push(GossipItem::Member(newer));
            }
            Some(_) => {}
            None => self.apply_and_gossip(now, update),
        }
    }

    /// Refutes a wrong claim about this node by raising its incarnation.
    fn refute(&mut self, now: Timestamp, claim: &MemberUpdate) {
        let own = self.own().update.clone();
        let ahead = claim.incarnation > own.incarnation;
        let contradicts = claim.incarnation == own.incarnation && claim.state != own.state;
        if ahead || contradicts {
            self.raise_incarnation(now, claim.incarnation, own.state, own.info);
        }
    }

    /// Publishes a new state of this node under the incarnation that follows `above`.
    fn raise_incarnation(
        &mut self,
        now: Timestamp,
        above: Incarnation,
        state: MemberState,
        info: HostInfo,
    ) {
        let incarnation = above.next();
        let update = MemberUpdate { host: self.host.clone(), incarnation, state, info };
        self.apply_and_gossip(now, update);
    }

    /// Gossips the state of the sender of a message if it is suspected or dead here, so that the
    /// sender learns of it and refutes it.
    fn gossip_suspicion_of(&mut self, from: &HostName) {
        let Some(member) = self.members.get(from) else {
            return;
        };
        match member.update.state {
            MemberState::Alive | MemberState::Left => {}
            MemberState::Suspect | MemberState::Dead => {
                let claim = GossipedMember::from_update(&member.update);
                self.gossip.push(GossipItem::Member(claim));
            }
        }
    }

    /// Stores an update and gossips it.
    fn apply_and_gossip(&mut self, now: Timestamp, update: MemberUpdate) {
        self.gossip.push(GossipItem::Member(GossipedMember::from_update(&update)));
        self.store(now, update);
    }

    /// Stores an update, and updates the counts, digests and suspects accordingly.
    fn store(&mut self, now: Timestamp, update: MemberUpdate) {
        if let Some(old) = self.members.remove(&update.host) {
            self.untrack(&old);
        }
        let member = Member { update, changed_at: now };
        if member.is_live() {
            self.live += 1;
            self.digests.toggle(&member.update);
        }
        if member.update.state == MemberState::Suspect {
            self.suspects.insert(member.update.host.clone());
        }
        self.members.insert(member.update.host.clone(), member);
        self.change_count += 1;
    }

    /// Removes a replaced state from the counts, digests and suspects.
    fn untrack(&mut self, old: &Member) {
        self.suspects.remove(&old.update.host);
        if old.is_live() {
            self.live -= 1;
            self.digests.toggle(&old.update);
        }
    }
}
