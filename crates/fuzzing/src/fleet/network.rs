//! Simulated network and clock: a queue of events ordered by time.

use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::time::Duration;

use snipehollow_config::model::ConfigDelta;
use snipehollow_core::membership::{
    BucketDigests, GossipMessage, MemberUpdate, ProbeId, SyncResponse,
};
use snipehollow_core::rng::Rng;
use snipehollow_core::time::Timestamp;

/// Content of a message.
#[derive(Clone, Debug)]
pub(super) enum Body {
    /// A probe or, without a `probe` id, gossip outside the probe schedule. `relayed_for` is the
    /// host that asked the sender to probe on its behalf.
    Probe {
        probe: Option<ProbeId>,
        message: GossipMessage,
        relayed_for: Option<usize>,
    },
    ProbeResponse {
        probe: Option<ProbeId>,
        message: GossipMessage,
        relayed_for: Option<usize>,
    },
    /// Asks the receiver to probe `target` on behalf of the sender.
    ProbeVia {
        probe: ProbeId,
        target: usize,
        message: GossipMessage,
    },
    Sync {
        own: MemberUpdate,
        digests: BucketDigests,
    },
    SyncResponse(SyncResponse),
    ConfigPull {
        revision: u64,
    },
    ConfigResponse(Option<ConfigDelta>),
}

/// A message in transit, from and to hosts given by their indexes.
#[derive(Clone, Debug)]
pub(super) struct Message {
    pub(super) from: usize,
    pub(super) to: usize,
    pub(super) body: Body,
}

/// An event at a scheduled time.
#[derive(Clone, Debug)]
pub(super) enum Event {
    /// A tick of the host with this index.
    Tick(usize),
    Deliver(Box<Message>),
}

/// An event in the queue, ordered by time and, at the same time, by `sequence`.
struct ScheduledEvent {
    at: Timestamp,
    sequence: u64,
    event: Event,
}

impl PartialEq for ScheduledEvent {
    fn eq(&self, other: &ScheduledEvent) -> bool {
        self.sequence == other.sequence
    }
}

impl Eq for ScheduledEvent {}

impl PartialOrd for ScheduledEvent {
    fn partial_cmp(&self, other: &ScheduledEvent) -> Option<std::cmp::Ordering> {
        Some(self.cmp(other))
    }
}

impl Ord for ScheduledEvent {
    fn cmp(&self, other: &ScheduledEvent) -> std::cmp::Ordering {
        (self.at, self.sequence).cmp(&(other.at, other.sequence))
    }
}

/// Ticks and messages in transit, in the order of their time.
pub(super) struct Network {
    queue: BinaryHeap<Reverse<ScheduledEvent>>,
    last_sequence: u64,
    pub(super) loss_rate: f64,
    pub(super) max_delay: Duration,
    /// Hosts with an index below this one cannot exchange messages with the others.
    pub(super) partition: Option<usize>,
}

impl Network {
    pub(super) fn new(loss_rate: f64, max_delay: Duration) -> Network {
        Network {
            queue: BinaryHeap::new(),
            last_sequence: 0,
            loss_rate,
            max_delay,
            partition: None,
        }
    }

    pub(super) fn schedule(&mut self, at: Timestamp, event: Event) {
        self.last_sequence += 1;
        self.queue.push(Reverse(ScheduledEvent { at, sequence: self.last_sequence, event }));
    }

    /// Sends a message with a random delay, unless it is lost or a partition separates the hosts.
    pub(super) fn send(&mut self, now: Timestamp, rng: &mut Rng, message: Message) {
        if self.is_partitioned(message.from, message.to) || rng.chance(self.loss_rate) {
            return;
        }
        let delay = self.max_delay.mul_f64(rng.unit());
        self.schedule(now + delay, Event::Deliver(Box::new(message)));
    }

    pub(super) fn is_partitioned(&self, a: usize, b: usize) -> bool {
        self.partition.is_some_and(|boundary| (a < boundary) != (b < boundary))
    }

    pub(super) fn pop(&mut self) -> Option<(Timestamp, Event)> {
        self.queue.pop().map(|Reverse(next)| (next.at, next.event))
    }
}
