//! Runs the simulation of a fleet.

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

use super::host::{Host, host_index, host_name};
use super::network::{Body, Event, Message, Network};
use super::plan::{FleetOp, FleetPlan};
use super::report::FleetReport;
use crate::{Violation, check};

const TICK_INTERVAL: Duration = Duration::from_millis(100);
/// Number of members that a host notifies at once when it adopts a new revision.
const FAN_OUT: usize = 3;
/// Size of a JSON message and its headers in bytes, without the items.
const MESSAGE_BYTES: u64 = 560;
/// Size of the state of a live host in bytes, as JSON.
const ALIVE_BYTES: u64 = 330;
/// Size of the state of any other host in bytes, as JSON.
const OTHER_BYTES: u64 = 100;
/// Interval at which agreement is checked after a partition has ended.
const AGREEMENT_CHECK_INTERVAL: Duration = Duration::from_millis(500);

/// A change whose propagation through the fleet is measured.
struct TrackedChange {
    kind: ChangeKind,
    since: Timestamp,
    /// Hosts that the change has not reached yet.
    pending: Vec<usize>,
}

enum ChangeKind {
    /// The host with this index was killed.
    Death(usize),
    /// The host with this index left.
    Leave(usize),
    /// This revision was committed.
    Revision(u64),
}

/// Simulation of a fleet.
pub struct Fleet {
    plan: FleetPlan,
    hosts: Vec<Host>,
    network: Network,
    rng: Rng,
    now: Timestamp,
    last_incarnation: u64,
    commits: Vec<ConfigDelta>,
    tracked: Vec<TrackedChange>,
    /// Time at which the last partition ended, until all hosts agree again.
    healed_at: Option<Timestamp>,
    agreement_checked_at: Timestamp,
    report: FleetReport,
}

/// Runs a plan, then checks that all live hosts agree if the plan has a settle time.
///
/// # Errors
///
/// Returns a violation if a host goes back to an older revision, or if the hosts do not agree.
pub fn check_fleet(plan: &FleetPlan) -> Result<FleetReport, Violation> {
    let mut fleet = Fleet::new(plan.clone());
    fleet.run()?;
    if !plan.settle_time.is_zero() {
        fleet.check_agreement()?;
    }
    Ok(fleet.into_report())
}

impl Fleet {
    /// Creates a fleet whose hosts start at random times within one second.
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
            last_incarnation: 1_000,
            commits: Vec::new(),
            tracked: Vec::new(),
            healed_at: None,
            agreement_checked_at: Timestamp::ZERO,
            report: FleetReport::default(),
            plan,
        }
    }

    /// Runs to the end of the plan.
    ///
    /// # Errors
    ///
    /// Returns a violation if a host goes back to an older revision.
    pub fn run(&mut self) -> Result<(), Violation> {
        let end = Timestamp::ZERO + self.plan.duration;
        let settle_from = Timestamp::ZERO + (self.plan.duration - self.plan.settle_time);
        let mut schedule = self.plan.schedule.clone().into_iter().peekable();
        while let Some((at, event)) = self.network.pop() {
            while let Some((_, op)) = schedule.next_if(|(when, _)| Timestamp::ZERO + *when <= at) {
                self.now = at;
                self.apply(&op)?;
            }
            if at >= end {
                break;
            }
            if at >= settle_from && !self.plan.settle_time.is_zero() {
                self.network.loss_rate = 0.0;
            }
            self.now = at;
            self.report.events += 1;
            self.handle(event)?;
        }
        Ok(())
    }

    /// Returns the measurements of the run.
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
        self.perform(index, actions);
        self.network.schedule(self.now + TICK_INTERVAL, Event::Tick(index));
        self.record_propagation(index);
        self.measure_convergence();
    }

    fn perform(&mut self, index: usize, actions: Vec<MemberAction>) {
        for action in actions {
            match action {
                MemberAction::Probe { probe, to } => self.probe(index, Some(probe), host_index(to)),
                MemberAction::ProbeVia { probe, via, target } => {
                    let message = self.gossip_message(index);
                    let target = host_index(target);
                    self.send(index, host_index(via), Body::ProbeVia { probe, target, message });
                }
                MemberAction::Sync { with } => {
                    let membership = &self.hosts[index].membership;
                    let Some(own) = membership.get(membership.host()).map(|m| m.update.clone())
                    else {
                        continue;
                    };
                    let digests = membership.digests().clone();
                    self.send(index, host_index(with), Body::Sync { own, digests });
                }
                MemberAction::Resumed { .. } => {}
            }
        }
    }

    fn probe(&mut self, from: usize, probe: Option<ProbeId>, to: usize) {
        let message = self.gossip_message(from);
        self.send(from, to, Body::Probe { probe, message, relayed_for: None });
    }

    fn gossip_message(&mut self, index: usize) -> GossipMessage {
        let revision = self.hosts[index].config.revision();
        self.hosts[index].membership.message(revision)
    }

    fn send(&mut self, from: usize, to: usize, body: Body) {
        let sender = &mut self.hosts[from];
        sender.sent_messages += 1;
        sender.sent_bytes += message_bytes(&body);
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
            // The message waits in the socket of the paused process.
            let at = host.paused_until;
            let message = Box::new(Message { from, to, body });
            self.network.schedule(at, Event::Deliver(message));
            return Ok(());
        }
        match body {
            Body::Probe { probe, message, relayed_for } => {
                self.receive_gossip(to, &message);
                let response = self.gossip_message(to);
                self.send(to, from, Body::ProbeResponse { probe, message: response, relayed_for });
            }
            Body::ProbeResponse { probe, message, relayed_for: Some(origin) } => {
                let body = Body::ProbeResponse { probe, message, relayed_for: None };
                self.send(to, origin, body);
            }
            Body::ProbeResponse { probe, message, relayed_for: None } => {
                let now = self.now;
                if let Some(probe) = probe {
                    self.hosts[to].membership.on_probe_response(now, probe, &message);
                    self.pull_if_behind(to, &message);
                } else {
                    self.receive_gossip(to, &message);
                }
            }
            Body::ProbeVia { probe, target, message } => {
                let body = Body::Probe { probe: Some(probe), message, relayed_for: Some(from) };
                self.send(to, target, body);
            }
            Body::Sync { own, digests } => {
                let response = self.hosts[to].membership.sync_response(&digests);
                self.hosts[to]
                    .membership
                    .on_sync_request(self.now, &GossipedMember::from_update(&own));
                self.send(to, from, Body::SyncResponse(response));
            }
            Body::SyncResponse(response) => {
                self.hosts[to].membership.on_sync_response(self.now, &response)
            }
            Body::ConfigPull { revision } => {
                let delta = self.hosts[to].config.delta_since(revision);
                self.send(to, from, Body::ConfigResponse(delta));
            }
            Body::ConfigResponse(Some(delta)) => self.adopt(to, &delta)?,
            Body::ConfigResponse(None) => {}
        }
        Ok(())
    }

    fn receive_gossip(&mut self, index: usize, message: &GossipMessage) {
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
            self.send(index, host_index(addr), Body::ConfigPull { revision });
        }
    }

    /// Applies a delta to a host. If it is accepted, the host notifies some others.
    fn adopt(&mut self, index: usize, delta: &ConfigDelta) -> Result<(), Violation> {
        let before = self.hosts[index].config.revision();
        // The host is expected to reject a delta whose revision is not newer than its own.
        let adopted = self.hosts[index].config.apply(delta).is_ok();
        let after = self.hosts[index].config.revision();
        check!(after >= before, "host {index} went back from revision {before} to {after}");
        if adopted {
            let notified = self.hosts[index].membership.random_live(&mut self.rng, FAN_OUT);
            for to in notified {
                self.probe(index, None, host_index(to));
            }
        }
        Ok(())
    }

    fn apply(&mut self, op: &FleetOp) -> Result<(), Violation> {
        match *op {
            FleetOp::Kill(host) => self.kill(host),
            FleetOp::Restart(host) => self.restart(host),
            FleetOp::Pause(host, duration) => self.hosts[host].paused_until = self.now + duration,
            FleetOp::Leave(host) => self.leave(host),
            FleetOp::Partition(boundary) => self.network.partition = Some(boundary),
            FleetOp::Heal => {
                if self.network.partition.take().is_some() {
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
        self.track(ChangeKind::Death(host), host);
    }

    /// Starts a killed host as a new process. Its death is no longer tracked, since hosts that have
    /// not detected it may never do so.
    fn restart(&mut self, host: usize) {
        if self.hosts[host].alive {
            return;
        }
        self.tracked.retain(|change| !matches!(change.kind, ChangeKind::Death(h) if h == host));
        self.last_incarnation += 1_000;
        self.hosts[host] = Host::new(host, self.last_incarnation);
        self.network.schedule(self.now, Event::Tick(host));
    }

    fn leave(&mut self, host: usize) {
        if !self.hosts[host].alive || self.hosts[host].left {
            return;
        }
        self.hosts[host].left = true;
        self.hosts[host].membership.leave(self.now);
        self.track(ChangeKind::Leave(host), host);
    }

    fn commit(&mut self, host: usize) -> Result<(), Violation> {
        if !self.hosts[host].alive {
            return Ok(());
        }
        let delta = next_commit(self.commits.last());
        let revision = delta.head.revision;
        self.commits.push(delta.clone());
        self.track(ChangeKind::Revision(revision), usize::MAX);
        self.adopt(host, &delta)?;
        self.record_propagation(host);
        Ok(())
    }

    /// Starts to measure how long a change takes to reach all live hosts except `except`.
    fn track(&mut self, kind: ChangeKind, except: usize) {
        let pending =
            (0..self.hosts.len()).filter(|h| *h != except && self.hosts[*h].alive).collect();
        self.tracked.push(TrackedChange { kind, since: self.now, pending });
    }

    /// Records the tracked changes that have reached a host since its last tick.
    fn record_propagation(&mut self, index: usize) {
        let host = &self.hosts[index];
        for change in &mut self.tracked {
            let Some(position) = change.pending.iter().position(|pending| *pending == index) else {
                continue;
            };
            let state =
                |other: usize| host.membership.get(&host_name(other)).map(|m| m.update.state);
            let (reached, times) = match change.kind {
                ChangeKind::Death(other) => {
                    let dead = matches!(state(other), None | Some(MemberState::Dead));
                    (dead, &mut self.report.detection_times)
                }
                ChangeKind::Leave(other) => {
                    (state(other) == Some(MemberState::Left), &mut self.report.leave_times)
                }
                ChangeKind::Revision(revision) => {
                    (host.config.revision() >= revision, &mut self.report.commit_times)
                }
            };
            if reached {
                change.pending.swap_remove(position);
                times.push(self.now.since(change.since));
            }
        }
        self.tracked.retain(|change| !change.pending.is_empty());
    }

    /// Records the convergence time if all hosts agree again after a partition.
    fn measure_convergence(&mut self) {
        let Some(healed_at) = self.healed_at else {
            return;
        };
        if self.now.since(self.agreement_checked_at) < AGREEMENT_CHECK_INTERVAL {
            return;
        }
        self.agreement_checked_at = self.now;
        if self.check_agreement().is_ok() {
            self.report.convergence_time = Some(self.now.since(healed_at));
            self.healed_at = None;
        }
    }

    /// Checks that all live hosts are at the newest revision, consider each live host alive, and
    /// consider none alive that was killed or has left.
    ///
    /// # Errors
    ///
    /// Returns a violation for the first host that disagrees.
    pub fn check_agreement(&self) -> Result<(), Violation> {
        let live: Vec<usize> = (0..self.hosts.len()).filter(|h| self.hosts[*h].alive).collect();
        let newest = self.hosts.iter().filter(|h| h.alive).map(|h| h.config.revision()).max();
        for index in &live {
            let host = &self.hosts[*index];
            let revision = host.config.revision();
            check!(
                Some(revision) == newest,
                "host {index} is at revision {revision}, but the newest is {newest:?}"
            );
            for other in 0..self.hosts.len() {
                self.check_member_state(*index, other)?;
            }
        }
        Ok(())
    }

    /// Checks the state that host `index` has recorded for host `other`.
    fn check_member_state(&self, index: usize, other: usize) -> Result<(), Violation> {
        let member = self.hosts[index].membership.get(&host_name(other));
        let state = member.map(|member| member.update.state);
        let actual = &self.hosts[other];
        let is_expected = match (actual.alive, actual.left) {
            (true, false) => state == Some(MemberState::Alive),
            // A host that joined after the leave may have no entry for it.
            (true, true) => !matches!(state, Some(MemberState::Alive | MemberState::Suspect)),
            (false, _) => !matches!(state, Some(MemberState::Alive | MemberState::Suspect)),
        };
        check!(is_expected, "host {index} wrongly considers host {other} to be {state:?}");
        Ok(())
    }
}

/// Returns the next configuration, which changes the deadline of its only class.
fn next_commit(previous: Option<&ConfigDelta>) -> ConfigDelta {
    let revision = previous.map_or(0, |delta| delta.head.revision) + 1;
    let class = ClassPolicy::new(ClassName::new("any").expect("a valid name"), Rank(0))
        .with_deadline_ms(100 + revision as u32);
    let section =
        Section::Global(GlobalSection { classes: vec![class], ..GlobalSection::default() });
    let stored = section.to_stored();
    let digest = SectionDigest::of(&stored);
    let mut recent = previous.map_or_else(Vec::new, |delta| delta.head.recent.clone());
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

fn member_bytes(member: &GossipedMember) -> u64 {
    if member.info.is_some() { ALIVE_BYTES } else { OTHER_BYTES }
}

/// Returns the approximate size of a message in bytes.
fn message_bytes(body: &Body) -> u64 {
    let gossip_bytes = |message: &GossipMessage| {
        let members = message.items.iter().filter_map(|item| match item {
            GossipItem::Member(member) => Some(member),
            GossipItem::Quarantine(..) | GossipItem::Departure(..) => None,
        });
        MESSAGE_BYTES + members.map(member_bytes).sum::<u64>()
    };
    match body {
        Body::Probe { message, .. }
        | Body::ProbeResponse { message, .. }
        | Body::ProbeVia { message, .. } => gossip_bytes(message),
        Body::Sync { digests, .. } => MESSAGE_BYTES + digests.0.len() as u64 * 21,
        Body::SyncResponse(response) => {
            MESSAGE_BYTES + response.members.iter().map(member_bytes).sum::<u64>()
        }
        Body::ConfigPull { .. } | Body::ConfigResponse(None) => MESSAGE_BYTES,
        Body::ConfigResponse(Some(delta)) => {
            let values: usize =
                delta.sections.iter().filter_map(|s| s.stored.as_ref().map(String::len)).sum();
            MESSAGE_BYTES + values as u64 + delta.head.recent.len() as u64 * 160
        }
    }
}
