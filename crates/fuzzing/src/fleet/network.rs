//! A queue of messages.

use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::time::Duration;

use snipehollow_config::model::ConfigDelta;
use snipehollow_core::membership::{
    BucketDigests, GossipMessage, MemberUpdate, ProbeId, SyncResponse,
};
use snipehollow_core::rng::Rng;
use snipehollow_core::time::Timestamp;

/// What a message says.
#[derive(Clone, Debug)]
pub(super) enum Body {
    Probe { probe: Option<ProbeId>, message: GossipMessage, relayed_for: Option<usize> },
    Answer { probe: Option<ProbeId>, message: GossipMessage, relayed_for: Option<usize> },
    ProbeVia { probe: ProbeId, target: usize, message: GossipMessage },
    Sync { own: MemberUpdate, digests: BucketDigests },
    SyncResponse(SyncResponse),
    ConfigPull { revision: u64 },
    ConfigAnswer(Option<ConfigDelta>),
}

/// A message on its way.
#[derive(Clone, Debug)]
pub(super) struct Message {
    pub(super) from: usize,
    pub(super) to: usize,
    pub(super) body: Body,
}

/// Something that is due.
#[derive(Clone, Debug)]
pub(super) enum Event {
    Tick(usize),
    Deliver(Box<Message>),
}

struct Due {
    at: Timestamp,
    sequence: u64,
    event: Event,
}

impl PartialEq for Due {
    fn eq(&self, other: &Due) -> bool {
        self.sequence == other.sequence
    }
}

impl Eq for Due {}

impl PartialOrd for Due {
    fn partial_cmp(&self, other: &Due) -> Option<std::cmp::Ordering> {
        Some(self.cmp(other))
    }
}

impl Ord for Due {
    fn cmp(&self, other: &Due) -> std::cmp::Ordering {
        (self.at, self.sequence).cmp(&(other.at, other.sequence))
    }
}

/// Messages and ticks in order of time.
pub(super) struct Network {
    due: BinaryHeap<Reverse<Due>>,
    next: u64,
    pub(super) loss: f64,
    pub(super) max_delay: Duration,
    /// Hosts below this number are cut off from the others.
    pub(super) cut: Option<usize>,
}

impl Network {
    pub(super) fn new(loss: f64, max_delay: Duration) -> Network {
        Network { due: BinaryHeap::new(), next: 0, loss, max_delay, cut: None }
    }

    pub(super) fn schedule(&mut self, at: Timestamp, event: Event) {
        self.next += 1;
        self.due.push(Reverse(Due { at, sequence: self.next, event }));
    }

    /// Sends a message, which may be lost or delayed.
    pub(super) fn send(&mut self, now: Timestamp, rng: &mut Rng, message: Message) {
        if self.is_cut(message.from, message.to) || rng.chance(self.loss) {
            return;
        }
        let delay = self.max_delay.mul_f64(rng.unit());
        self.schedule(now + delay, Event::Deliver(Box::new(message)));
    }

    pub(super) fn is_cut(&self, a: usize, b: usize) -> bool {
        self.cut.is_some_and(|cut| (a < cut) != (b < cut))
    }

    pub(super) fn pop(&mut self) -> Option<(Timestamp, Event)> {
        self.due.pop().map(|Reverse(due)| (due.at, due.event))
    }
}
