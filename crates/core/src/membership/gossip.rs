//! Changes that are piggybacked on probes.

use super::member::GossipedMember;
use std::cmp::Reverse;
use std::collections::BTreeMap;

use crate::collections::FastMap;
use crate::ids::{Fingerprint, HostName, ServiceName};
use crate::quarantine::QuarantineEntry;

/// Most changes in one message.
const MAX_ITEMS: usize = 8;
/// Times a change is sent, per doubling of the number of members.
const SENDS_PER_DOUBLING: u32 = 2;

data_type! {
    /// One change.
    pub enum GossipItem {
        /// State of a member.
        Member(GossipedMember),
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
            GossipItem::Member(news) => Key::Member(news.host.clone()),
            GossipItem::Quarantine(_, entry) => Key::Quarantine(entry.fingerprint),
        }
    }
}

/// Place in the order of sending: least sent first, and of those the newest.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct Turn {
    sends: u32,
    newest_first: Reverse<u64>,
}

/// Changes that still have to be sent; a newer one about the same thing replaces the older.
#[derive(Clone, Debug, Default)]
pub struct GossipQueue {
    turns: FastMap<Key, Turn>,
    items: BTreeMap<Turn, GossipItem>,
    next_sequence: u64,
}

impl GossipQueue {
    /// Adds a change.
    pub fn push(&mut self, item: GossipItem) {
        self.next_sequence += 1;
        let turn = Turn { sends: 0, newest_first: Reverse(self.next_sequence) };
        if let Some(old) = self.turns.insert(item.key(), turn) {
            self.items.remove(&old);
        }
        self.items.insert(turn, item);
    }

    /// Returns the least sent changes and counts them as sent to one of `members`.
    pub fn take(&mut self, members: usize) -> Vec<GossipItem> {
        let doublings = usize::BITS - members.leading_zeros() + 1;
        let max_sends = SENDS_PER_DOUBLING * doublings;
        let turns: Vec<Turn> = self.items.keys().take(MAX_ITEMS).copied().collect();
        turns.into_iter().filter_map(|turn| self.send(turn, max_sends)).collect()
    }

    /// Returns the number of changes that still have to be sent.
    pub fn len(&self) -> usize {
        self.items.len()
    }

    /// Tells whether nothing has to be sent.
    pub fn is_empty(&self) -> bool {
        self.items.is_empty()
    }

    fn send(&mut self, turn: Turn, max_sends: u32) -> Option<GossipItem> {
        let item = self.items.remove(&turn)?;
        if turn.sends + 1 >= max_sends {
            self.turns.remove(&item.key());
            return Some(item);
        }
        let next = Turn { sends: turn.sends + 1, ..turn };
        self.turns.insert(item.key(), next);
        self.items.insert(next, item.clone());
        Some(item)
    }
}
