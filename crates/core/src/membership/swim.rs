//! Membership of one availability zone.

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

/// Where news comes from.
///
/// What a synchronization brings is not spread again: others that lack it synchronize too,
/// and spreading a whole zone's state would delay what is really new.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Source {
    Gossip,
    Sync,
}

/// Differing digests since the last synchronization before another one.
const MISMATCHES_TO_SYNC: u32 = 4;
/// Periods between two probes of a dead member, to notice a healed partition.
const DEAD_PROBE_PERIODS: u64 = 5;

/// State of the protocol at one node.
#[derive(Clone, Debug)]
pub struct Membership {
    cfg: MembershipConfig,
    host: HostName,
    members: FastMap<HostName, Member>,
    digests: BucketDigests,
    live: usize,
    suspects: FastSet<HostName>,
    gossip: GossipQueue,
    probes: Probes,
    round: Vec<HostName>,
    seeds: Vec<SocketAddr>,
    periods: u64,
    next_period: Timestamp,
    last_tick: Option<Timestamp>,
    last_sync: Option<Timestamp>,
    mismatches: u32,
    /// Sender of the last message whose digest differed.
    differing: Option<HostName>,
    change_count: u64,
}

impl Membership {
    /// Creates the state of a node that knows only itself and its seeds.
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
            differing: None,
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

    /// Returns this node's own incarnation.
    pub fn incarnation(&self) -> Incarnation {
        self.own().update.incarnation
    }

    /// Returns a number that rises with every change of the members.
    pub fn change_count(&self) -> u64 {
        self.change_count
    }

    /// Iterates over all members, this node included.
    pub fn members(&self) -> impl Iterator<Item = &Member> {
        self.members.values()
    }

    /// Returns one member.
    pub fn get(&self, host: &HostName) -> Option<&Member> {
        self.members.get(host)
    }

    /// Returns the number of live members, this node included.
    pub fn live_count(&self) -> usize {
        self.live
    }

    /// Returns the live members that rank first for `key` by rendezvous hashing.
    pub fn select_by_rendezvous(&self, key: &str, count: usize) -> Vec<&HostName> {
        let live = self.members.values().filter(|m| m.is_live()).map(|m| &m.update.host);
        rank_by_rendezvous(key, live, count)
    }

    /// Returns the control addresses of random live members, this node excluded.
    pub fn random_live(&self, rng: &mut Rng, count: usize) -> Vec<SocketAddr> {
        let mut live: Vec<SocketAddr> =
            self.others().filter(|m| m.is_live()).map(|m| m.update.info.control).collect();
        live.sort_unstable();
        rng.sample(&mut live, count).to_vec()
    }

    /// Adds seeds, for example those read from the store.
    pub fn add_seeds(&mut self, seeds: &[SocketAddr]) {
        let own = self.own().update.info.control;
        for seed in seeds {
            if *seed != own && !self.seeds.contains(seed) {
                self.seeds.push(*seed);
            }
        }
    }

    /// Changes what this host says of its upstream.
    pub fn set_upstream(&mut self, now: Timestamp, upstream: Option<UpstreamInfo>) {
        let own = self.own().update.clone();
        if own.info.upstream == upstream {
            return;
        }
        let info = HostInfo { upstream, ..own.info };
        self.raise_incarnation(now, own.incarnation, MemberState::Alive, info);
    }

    /// Marks this host as stopped by plan.
    pub fn leave(&mut self, now: Timestamp) {
        let own = self.own().update.clone();
        self.raise_incarnation(now, own.incarnation, MemberState::Left, own.info);
    }

    /// Adds a change of another kind to what is piggybacked.
    pub fn enqueue_gossip(&mut self, item: GossipItem) {
        self.gossip.push(item);
    }

    /// Advances timers: probes, suspicions, seeds. Call several times a period.
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

    /// Returns the message to send with a probe or an answer.
    pub fn message(&mut self, revision: u64) -> GossipMessage {
        let members = self.live_count();
        GossipMessage {
            from: self.host.clone(),
            items: self.gossip.take(members),
            digest: self.digests.total(),
            revision,
        }
    }

    /// Takes in the message of a probe or an answer; returns the items that are not about
    /// members.
    pub fn on_message(&mut self, now: Timestamp, message: &GossipMessage) -> Vec<GossipItem> {
        let mut others = Vec::new();
        for item in &message.items {
            match item {
                GossipItem::Member(news) => self.merge(now, news, Source::Gossip),
                GossipItem::Quarantine(..) => others.push(item.clone()),
            }
        }
        self.tell_if_held_dead(&message.from);
        if message.digest != self.digests.total() {
            // Agreement with others does not count against it: a minority may know more.
            self.mismatches += 1;
            self.differing = Some(message.from.clone());
        }
        others
    }

    /// Takes in the answer to a probe, direct or indirect.
    pub fn on_probe_response(
        &mut self,
        now: Timestamp,
        probe: ProbeId,
        message: &GossipMessage,
    ) -> Vec<GossipItem> {
        self.probes.answered(probe);
        self.on_message(now, message)
    }

    /// Records that a direct probe failed, before its timeout.
    pub fn on_probe_failed(&mut self, probe: ProbeId, rng: &mut Rng) -> Vec<MemberAction> {
        let Some(Probe { host, addr: target, .. }) = self.probes.make_indirect(probe) else {
            return Vec::new();
        };
        let mut helpers: Vec<SocketAddr> = self
            .others()
            .filter(|m| m.update.state == MemberState::Alive && m.update.host != host)
            .map(|m| m.update.info.control)
            .collect();
        helpers.sort_unstable();
        rng.sample(&mut helpers, self.cfg.indirect_probes)
            .iter()
            .map(|via| MemberAction::ProbeVia { probe, via: *via, target })
            .collect()
    }

    fn own(&self) -> &Member {
        // Invariant: `new` stores the own entry and nothing removes it.
        &self.members[&self.host]
    }

    fn others(&self) -> impl Iterator<Item = &Member> {
        self.members.values().filter(|member| member.update.host != self.host)
    }

    fn start_period(&mut self, now: Timestamp, rng: &mut Rng, actions: &mut Vec<MemberAction>) {
        self.forget_old(now);
        if let Some(host) = self.next_target(rng) {
            actions.extend(self.probe(now, &host));
        }
        if self.periods.is_multiple_of(DEAD_PROBE_PERIODS)
            && let Some(host) = self.random_dead(rng)
        {
            actions.extend(self.probe(now, &host));
        }
        self.contact_seeds(now, rng, actions);
        self.repair(now, rng, actions);
    }

    fn probe(&mut self, now: Timestamp, host: &HostName) -> Option<MemberAction> {
        let to = self.members.get(host)?.update.info.control;
        let probe = self.probes.start(now, host, to);
        Some(MemberAction::Probe { probe, to })
    }

    /// Returns the next live member of a shuffled round, so that each is probed once a round.
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

    fn suspect(&mut self, now: Timestamp, host: &HostName) {
        let Some(member) = self.members.get(host) else {
            return;
        };
        if member.update.state != MemberState::Alive {
            return;
        }
        let update = MemberUpdate { state: MemberState::Suspect, ..member.update.clone() };
        self.accept(now, update);
    }

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
            self.accept(now, update);
        }
    }

    /// After a pause nothing that timed out meanwhile is held against the others.
    fn resume(&mut self, gap: Duration) {
        self.probes.clear();
        for member in self.members.values_mut() {
            member.changed_at = member.changed_at + gap;
        }
        self.last_sync = None;
        self.mismatches = MISMATCHES_TO_SYNC;
    }

    fn forget_old(&mut self, now: Timestamp) {
        let mut old: Vec<HostName> = self
            .others()
            .filter(|m| !m.is_live() && now.since(m.changed_at) >= self.cfg.retention)
            .map(|m| m.update.host.clone())
            .collect();
        old.sort_unstable();
        for host in old {
            self.members.remove(&host);
        }
    }

    fn merge(&mut self, now: Timestamp, news: &GossipedMember, source: Source) {
        let known = self.members.get(&news.host);
        // News of a host that is not alive and not known needs no place.
        let Some(update) = news.to_update(known.map(|member| &member.update.info)) else {
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
            Some(member) if update.supersedes(&member.update) => self.accept(now, update),
            Some(member) if member.update.supersedes(&update) => {
                // The sender is behind: let the newer state travel again.
                let news = GossipedMember::from_update(&member.update);
                self.gossip.push(GossipItem::Member(news));
            }
            Some(_) => {}
            None => self.accept(now, update),
        }
    }

    /// Answers a claim about this node that is not true with a higher incarnation.
    fn refute(&mut self, now: Timestamp, claim: &MemberUpdate) {
        let own = self.own().update.clone();
        let ahead = claim.incarnation > own.incarnation;
        let contradicts = claim.incarnation == own.incarnation && claim.state != own.state;
        if ahead || contradicts {
            self.raise_incarnation(now, claim.incarnation, own.state, own.info);
        }
    }

    fn raise_incarnation(
        &mut self,
        now: Timestamp,
        above: Incarnation,
        state: MemberState,
        info: HostInfo,
    ) {
        let incarnation = Incarnation(above.0 + 1);
        let update = MemberUpdate { host: self.host.clone(), incarnation, state, info };
        self.accept(now, update);
    }

    /// A message from a member that is held dead tells it so, and it will refute.
    fn tell_if_held_dead(&mut self, from: &HostName) {
        let Some(member) = self.members.get(from) else {
            return;
        };
        match member.update.state {
            MemberState::Alive | MemberState::Left => {}
            MemberState::Suspect | MemberState::Dead => {
                let news = GossipedMember::from_update(&member.update);
                self.gossip.push(GossipItem::Member(news));
            }
        }
    }

    fn accept(&mut self, now: Timestamp, update: MemberUpdate) {
        self.gossip.push(GossipItem::Member(GossipedMember::from_update(&update)));
        self.store(now, update);
    }

    fn store(&mut self, now: Timestamp, update: MemberUpdate) {
        if let Some(old) = self.members.remove(&update.host) {
            self.uncount(&old);
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

    fn uncount(&mut self, old: &Member) {
        self.suspects.remove(&old.update.host);
        if old.is_live() {
            self.live -= 1;
            self.digests.toggle(&old.update);
        }
    }
}
