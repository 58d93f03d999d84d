//! A running fleet.

use std::time::Duration;

use snipehollow_config::model::{
    Change, ConfigDelta, GlobalSection, Head, IndexRef, RECENT_CHANGES, Section, SectionDigest,
    SectionName, SectionRef, SectionValue,
};
use snipehollow_core::class::{ClassPolicy, Rank};
use snipehollow_core::ids::ClassName;
use snipehollow_core::membership::{
    GossipItem, GossipMessage, GossipedMember, MemberAction, MemberState, ProbeId,
};
use snipehollow_core::rng::Rng;
use snipehollow_core::time::Timestamp;

use super::host::{Host, host_name, index_of};
use super::network::{Body, Event, Message, Network};
use super::plan::{FleetOp, FleetPlan};
use super::report::FleetReport;
use crate::{Violation, check};

const TICK: Duration = Duration::from_millis(100);
/// Members that are told at once of a new revision.
const FAN_OUT: usize = 3;
/// Bytes of a message without its items, as JSON with its heads.
const MESSAGE_BYTES: u64 = 560;
/// Bytes of the state of a live host, as JSON.
const ALIVE_BYTES: u64 = 330;
/// Bytes of the state of any other host, as JSON.
const OTHER_BYTES: u64 = 100;
/// Time between two looks at whether all agree after a heal.
const AGREEMENT_STEP: Duration = Duration::from_millis(500);

/// A change that is followed through the fleet.
struct Followed {
    kind: FollowedKind,
    since: Timestamp,
    pending: Vec<usize>,
}

enum FollowedKind {
    Death(usize),
    Leave(usize),
    Revision(u64),
}

/// A running fleet.
pub struct Fleet {
    plan: FleetPlan,
    hosts: Vec<Host>,
    network: Network,
    rng: Rng,
    now: Timestamp,
    next_start: u64,
    heads: Vec<ConfigDelta>,
    followed: Vec<Followed>,
    healed_at: Option<Timestamp>,
    looked_at: Timestamp,
    report: FleetReport,
}

/// Runs a plan; after its quiet time all live hosts must agree.
pub fn check_fleet(plan: &FleetPlan) -> Result<FleetReport, Violation> {
    let mut fleet = Fleet::new(plan.clone());
    fleet.run()?;
    if !plan.settle_time.is_zero() {
        fleet.check_agreement()?;
    }
    Ok(fleet.into_report())
}

impl Fleet {
    /// Creates a fleet whose hosts start spread over one second.
    pub fn new(plan: FleetPlan) -> Fleet {
        let mut rng = Rng::new(plan.seed);
        let mut network = Network::new(plan.loss_rate, plan.max_delay);
        for host in 0..plan.hosts {
            let at = Timestamp::from_micros(rng.below(1_000_000) as u64);
            network.schedule(at, Event::Tick(host));
        }
        Fleet {
            hosts: (0..plan.hosts).map(|host| Host::new(host, 1)).collect(),
            network,
            rng,
            now: Timestamp::ZERO,
            next_start: 1_000,
            heads: Vec::new(),
            followed: Vec::new(),
            healed_at: None,
            looked_at: Timestamp::ZERO,
            report: FleetReport::default(),
            plan,
        }
    }

    /// Runs to the end of the plan.
    pub fn run(&mut self) -> Result<(), Violation> {
        let end = Timestamp::ZERO + self.plan.duration;
        let quiet_from = Timestamp::ZERO + (self.plan.duration - self.plan.settle_time);
        let mut schedule = self.plan.schedule.clone().into_iter().peekable();
        while let Some((at, event)) = self.network.pop() {
            while let Some((_, disturbance)) =
                schedule.next_if(|(when, _)| Timestamp::ZERO + *when <= at)
            {
                self.now = at;
                self.disturb(&disturbance)?;
            }
            if at >= end {
                break;
            }
            if at >= quiet_from && !self.plan.settle_time.is_zero() {
                self.network.loss = 0.0;
            }
            self.now = at;
            self.report.events += 1;
            self.handle(event)?;
        }
        Ok(())
    }

    /// Returns what the run showed.
    pub fn into_report(mut self) -> FleetReport {
        let seconds = self.plan.duration.as_secs_f64() * self.plan.hosts as f64;
        let messages: u64 = self.hosts.iter().map(|host| host.sent_messages).sum();
        let bytes: u64 = self.hosts.iter().map(|host| host.sent_bytes).sum();
        self.report.messages_per_host_second = messages as f64 / seconds;
        self.report.bytes_per_host_second = bytes as f64 / seconds;
        self.report
    }

    fn handle(&mut self, event: Event) -> Result<(), Violation> {
        match event {
            Event::Tick(host) => self.tick(host),
            Event::Deliver(message) => self.deliver(*message)?,
        }
        Ok(())
    }

    fn tick(&mut self, index: usize) {
        let host = &mut self.hosts[index];
        if !host.alive {
            return;
        }
        if host.paused_until > self.now {
            let at = host.paused_until;
            self.network.schedule(at, Event::Tick(index));
            return;
        }
        let actions = host.membership.tick(self.now, &mut self.rng);
        self.carry_out(index, actions);
        self.network.schedule(self.now + TICK, Event::Tick(index));
        self.follow(index);
        self.look_for_convergence();
    }

    fn carry_out(&mut self, index: usize, actions: Vec<MemberAction>) {
        for action in actions {
            match action {
                MemberAction::Probe { probe, to } => self.probe(index, Some(probe), index_of(to)),
                MemberAction::ProbeVia { probe, via, target } => {
                    let message = self.message(index);
                    let target = index_of(target);
                    self.send(index, index_of(via), Body::ProbeVia { probe, target, message });
                }
                MemberAction::Sync { with } => {
                    let membership = &self.hosts[index].membership;
                    let Some(own) = membership.get(membership.host()).map(|m| m.update.clone())
                    else {
                        continue;
                    };
                    let digests = membership.digests().clone();
                    self.send(index, index_of(with), Body::Sync { own, digests });
                }
                MemberAction::Resumed { .. } => {}
            }
        }
    }

    fn probe(&mut self, from: usize, probe: Option<ProbeId>, to: usize) {
        let message = self.message(from);
        self.send(from, to, Body::Probe { probe, message, relayed_for: None });
    }

    fn message(&mut self, index: usize) -> GossipMessage {
        let revision = self.hosts[index].config.revision();
        self.hosts[index].membership.message(revision)
    }

    fn send(&mut self, from: usize, to: usize, body: Body) {
        let sender = &mut self.hosts[from];
        sender.sent_messages += 1;
        sender.sent_bytes += bytes_of(&body);
        self.network.send(self.now, &mut self.rng, Message { from, to, body });
    }

    fn deliver(&mut self, message: Message) -> Result<(), Violation> {
        let Message { from, to, body } = message;
        let Some(host) = self.hosts.get(to) else {
            return Ok(());
        };
        if !host.alive {
            return Ok(());
        }
        if host.paused_until > self.now {
            // It waits in the paused process's socket.
            let at = host.paused_until;
            let message = Box::new(Message { from, to, body });
            self.network.schedule(at, Event::Deliver(message));
            return Ok(());
        }
        match body {
            Body::Probe { probe, message, relayed_for } => {
                self.take_in(to, &message);
                let answer = self.message(to);
                self.send(to, from, Body::Answer { probe, message: answer, relayed_for });
            }
            Body::Answer { probe, message, relayed_for: Some(origin) } => {
                let body = Body::Answer { probe, message, relayed_for: None };
                self.send(to, origin, body);
            }
            Body::Answer { probe, message, relayed_for: None } => {
                let now = self.now;
                if let Some(probe) = probe {
                    self.hosts[to].membership.on_probe_response(now, probe, &message);
                    self.pull_if_behind(to, &message);
                } else {
                    self.take_in(to, &message);
                }
            }
            Body::ProbeVia { probe, target, message } => {
                let body = Body::Probe { probe: Some(probe), message, relayed_for: Some(from) };
                self.send(to, target, body);
            }
            Body::Sync { own, digests } => {
                let answer = self.hosts[to].membership.sync_response(&digests);
                self.hosts[to]
                    .membership
                    .on_sync_request(self.now, &GossipedMember::from_update(&own));
                self.send(to, from, Body::SyncResponse(answer));
            }
            Body::SyncResponse(answer) => {
                self.hosts[to].membership.on_sync_response(self.now, &answer)
            }
            Body::ConfigPull { revision } => {
                let delta = self.hosts[to].config.delta_since(revision);
                self.send(to, from, Body::ConfigAnswer(delta));
            }
            Body::ConfigAnswer(Some(delta)) => self.adopt(to, &delta)?,
            Body::ConfigAnswer(None) => {}
        }
        Ok(())
    }

    fn take_in(&mut self, index: usize, message: &GossipMessage) {
        self.hosts[index].membership.on_message(self.now, message);
        self.pull_if_behind(index, message);
    }

    fn pull_if_behind(&mut self, index: usize, message: &GossipMessage) {
        let revision = self.hosts[index].config.revision();
        if message.revision <= revision {
            return;
        }
        let from = self.hosts[index].membership.get(&message.from);
        if let Some(addr) = from.map(|member| member.update.info.control) {
            self.send(index, index_of(addr), Body::ConfigPull { revision });
        }
    }

    fn adopt(&mut self, index: usize, delta: &ConfigDelta) -> Result<(), Violation> {
        let before = self.hosts[index].config.revision();
        // A delta that is no longer newer is refused; that is as it should be.
        let taken = self.hosts[index].config.apply(delta).is_ok();
        let after = self.hosts[index].config.revision();
        check!(after >= before, "host {index} fell from revision {before} to {after}");
        if taken {
            let tell = self.hosts[index].membership.random_live(&mut self.rng, FAN_OUT);
            for to in tell {
                self.probe(index, None, index_of(to));
            }
        }
        Ok(())
    }

    fn disturb(&mut self, disturbance: &FleetOp) -> Result<(), Violation> {
        match *disturbance {
            FleetOp::Kill(host) => self.kill(host),
            FleetOp::Restart(host) => self.restart(host),
            FleetOp::Pause(host, time) => self.hosts[host].paused_until = self.now + time,
            FleetOp::Leave(host) => self.leave(host),
            FleetOp::Partition(cut) => self.network.cut = Some(cut),
            FleetOp::Heal => {
                if self.network.cut.take().is_some() {
                    self.healed_at = Some(self.now);
                }
            }
            FleetOp::Commit(host) => self.commit(host)?,
        }
        Ok(())
    }

    fn kill(&mut self, host: usize) {
        if !self.hosts[host].alive {
            return;
        }
        self.hosts[host].alive = false;
        self.start_following(FollowedKind::Death(host), host);
    }

    fn restart(&mut self, host: usize) {
        if self.hosts[host].alive {
            return;
        }
        self.followed.retain(|f| !matches!(f.kind, FollowedKind::Death(h) if h == host));
        self.next_start += 1_000;
        self.hosts[host] = Host::new(host, self.next_start);
        self.network.schedule(self.now, Event::Tick(host));
    }

    fn leave(&mut self, host: usize) {
        if !self.hosts[host].alive || self.hosts[host].left {
            return;
        }
        self.hosts[host].left = true;
        self.hosts[host].membership.leave(self.now);
        self.start_following(FollowedKind::Leave(host), host);
    }

    fn commit(&mut self, host: usize) -> Result<(), Violation> {
        if !self.hosts[host].alive {
            return Ok(());
        }
        let delta = next_commit(self.heads.last());
        let revision = delta.head.revision;
        self.heads.push(delta.clone());
        self.start_following(FollowedKind::Revision(revision), usize::MAX);
        self.adopt(host, &delta)?;
        self.follow(host);
        Ok(())
    }

    fn start_following(&mut self, kind: FollowedKind, except: usize) {
        let pending =
            (0..self.hosts.len()).filter(|h| *h != except && self.hosts[*h].alive).collect();
        self.followed.push(Followed { kind, since: self.now, pending });
    }

    /// Notes what a host has learned since its last tick.
    fn follow(&mut self, index: usize) {
        let host = &self.hosts[index];
        for followed in &mut self.followed {
            let Some(place) = followed.pending.iter().position(|pending| *pending == index) else {
                continue;
            };
            let state =
                |other: usize| host.membership.get(&host_name(other)).map(|m| m.update.state);
            let (learned, times) = match followed.kind {
                FollowedKind::Death(other) => {
                    let dead = matches!(state(other), None | Some(MemberState::Dead));
                    (dead, &mut self.report.detection_times)
                }
                FollowedKind::Leave(other) => {
                    (state(other) == Some(MemberState::Left), &mut self.report.leave_times)
                }
                FollowedKind::Revision(revision) => {
                    (host.config.revision() >= revision, &mut self.report.commit_times)
                }
            };
            if learned {
                followed.pending.swap_remove(place);
                times.push(self.now.since(followed.since));
            }
        }
        self.followed.retain(|followed| !followed.pending.is_empty());
    }

    fn look_for_convergence(&mut self) {
        let Some(healed) = self.healed_at else {
            return;
        };
        if self.now.since(self.looked_at) < AGREEMENT_STEP {
            return;
        }
        self.looked_at = self.now;
        if self.check_agreement().is_ok() {
            self.report.convergence_time = Some(self.now.since(healed));
            self.healed_at = None;
        }
    }

    /// Checks that all live hosts know each other, no other one, and one revision.
    pub fn check_agreement(&self) -> Result<(), Violation> {
        let live: Vec<usize> = (0..self.hosts.len()).filter(|h| self.hosts[*h].alive).collect();
        let newest = self.hosts.iter().filter(|h| h.alive).map(|h| h.config.revision()).max();
        for index in &live {
            let host = &self.hosts[*index];
            let revision = host.config.revision();
            check!(Some(revision) == newest, "host {index} stays at revision {revision}");
            for other in 0..self.hosts.len() {
                self.check_view(*index, other)?;
            }
        }
        Ok(())
    }

    fn check_view(&self, index: usize, other: usize) -> Result<(), Violation> {
        let member = self.hosts[index].membership.get(&host_name(other));
        let state = member.map(|member| member.update.state);
        let truth = &self.hosts[other];
        let right = match (truth.alive, truth.left) {
            (true, false) => state == Some(MemberState::Alive),
            // A host that joined after the leave need not know of it.
            (true, true) => !matches!(state, Some(MemberState::Alive | MemberState::Suspect)),
            (false, _) => !matches!(state, Some(MemberState::Alive | MemberState::Suspect)),
        };
        check!(right, "host {index} holds host {other} for {state:?}");
        Ok(())
    }
}

/// Makes the next configuration: one class with another deadline.
fn next_commit(last: Option<&ConfigDelta>) -> ConfigDelta {
    let revision = last.map_or(0, |delta| delta.head.revision) + 1;
    let class = ClassPolicy::new(ClassName::new("any").expect("a valid name"), Rank(0))
        .with_deadline_ms(100 + revision as u32);
    let section =
        Section::Global(GlobalSection { classes: vec![class], ..GlobalSection::default() });
    let stored = section.to_stored();
    let digest = SectionDigest::of(&stored);
    let mut recent = last.map_or_else(Vec::new, |delta| delta.head.recent.clone());
    recent.push(Change {
        revision,
        change_id: format!("change-{revision}"),
        author: "operator".into(),
        at: 0,
        sections: vec![SectionRef { name: SectionName::Global, digest: Some(digest) }],
    });
    let excess = recent.len().saturating_sub(RECENT_CHANGES);
    recent.drain(..excess);
    let content =
        SectionRef::digest_all(&[SectionRef { name: SectionName::Global, digest: Some(digest) }]);
    let head = Head { revision, recent, index: IndexRef { revision, digest }, content };
    let sections = vec![SectionValue { name: SectionName::Global, stored: Some(stored) }];
    ConfigDelta { head, since: None, sections }
}

fn news_bytes(news: &GossipedMember) -> u64 {
    if news.info.is_some() { ALIVE_BYTES } else { OTHER_BYTES }
}

fn bytes_of(body: &Body) -> u64 {
    let items = |message: &GossipMessage| {
        let news = message.items.iter().filter_map(|item| match item {
            GossipItem::Member(news) => Some(news),
            GossipItem::Quarantine(..) => None,
        });
        MESSAGE_BYTES + news.map(news_bytes).sum::<u64>()
    };
    match body {
        Body::Probe { message, .. }
        | Body::Answer { message, .. }
        | Body::ProbeVia { message, .. } => items(message),
        Body::Sync { digests, .. } => MESSAGE_BYTES + digests.0.len() as u64 * 21,
        Body::SyncResponse(answer) => {
            MESSAGE_BYTES + answer.members.iter().map(news_bytes).sum::<u64>()
        }
        Body::ConfigPull { .. } | Body::ConfigAnswer(None) => MESSAGE_BYTES,
        Body::ConfigAnswer(Some(delta)) => {
            let values: usize =
                delta.sections.iter().filter_map(|s| s.stored.as_ref().map(String::len)).sum();
            MESSAGE_BYTES + values as u64 + delta.head.recent.len() as u64 * 160
        }
    }
}
