//! Changes that are piggybacked on probes.

use super::member::MemberUpdate;
use crate::collections::FastMap;
use crate::ids::{Fingerprint, HostName, ServiceName};
use crate::quarantine::QuarantineEntry;

/// Most changes in one message.
const MAX_ITEMS: usize = 12;
/// Times a change is sent, per doubling of the number of members.
const SENDS_PER_DOUBLING: u32 = 3;

data_type! {
    /// One change.
    pub enum GossipItem {
        /// State of a member.
        Member(MemberUpdate),
        /// A suspected, quarantined or lifted request of a service.
        Quarantine(ServiceName, QuarantineEntry),
    }

    /// What every probe and its answer carry.
    pub struct GossipMessage {
        /// Sender.
        pub from: HostName,
        /// Recent changes.
        pub items: Vec<GossipItem>,
        /// Digest of the sender's view of the members.
        pub digest: u64,
        /// Revision of the configuration in force at the sender.
        pub revision: u64,
    }
}

#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
enum Key {
    Member(HostName),
    Quarantine(Fingerprint),
}

impl GossipItem {
    fn key(&self) -> Key {
        match self {
            GossipItem::Member(update) => Key::Member(update.host.clone()),
            GossipItem::Quarantine(_, entry) => Key::Quarantine(entry.fingerprint),
        }
    }
}

#[derive(Clone, Debug)]
struct Queued {
    item: GossipItem,
    sends: u32,
    sequence: u64,
}

/// Changes that still have to be sent; a newer one about the same thing replaces the older.
#[derive(Clone, Debug, Default)]
pub struct GossipQueue {
    queued: FastMap<Key, Queued>,
    next_sequence: u64,
}

impl GossipQueue {
    /// Adds a change.
    pub fn push(&mut self, item: GossipItem) {
        self.next_sequence += 1;
        let queued = Queued { sends: 0, sequence: self.next_sequence, item };
        self.queued.insert(queued.item.key(), queued);
    }

    /// Returns the least sent changes and counts them as sent to one of `members`.
    pub fn take(&mut self, members: usize) -> Vec<GossipItem> {
        let doublings = usize::BITS - members.leading_zeros() + 1;
        let max_sends = SENDS_PER_DOUBLING * doublings;
        let mut order: Vec<(u32, std::cmp::Reverse<u64>, Key)> = self
            .queued
            .iter()
            .map(|(key, queued)| (queued.sends, std::cmp::Reverse(queued.sequence), key.clone()))
            .collect();
        order.sort_unstable();
        order.truncate(MAX_ITEMS);
        order.into_iter().filter_map(|(_, _, key)| self.send(key, max_sends)).collect()
    }

    /// Returns the number of changes that still have to be sent.
    pub fn len(&self) -> usize {
        self.queued.len()
    }

    /// Tells whether nothing has to be sent.
    pub fn is_empty(&self) -> bool {
        self.queued.is_empty()
    }

    fn send(&mut self, key: Key, max_sends: u32) -> Option<GossipItem> {
        let queued = self.queued.get_mut(&key)?;
        queued.sends += 1;
        if queued.sends < max_sends {
            return Some(queued.item.clone());
        }
        self.queued.remove(&key).map(|queued| queued.item)
    }
}
