//! Changes that nodes piggyback on probes and their responses.

use super::departures::RecordedDeparture;
use super::member::GossipedMember;
use std::cmp::Reverse;
use std::collections::BTreeMap;

use crate::collections::FastMap;
use crate::ids::{Fingerprint, HostName, InstanceId, ServiceName};
use crate::quarantine::QuarantineEntry;

/// Maximum number of changes in one message.
const MAX_ITEMS: usize = 8;
/// Number of times that a change is sent per doubling of the number of members. Gossip reaches all
/// members in a number of rounds that grows with the logarithm of their number.
const SENDS_PER_DOUBLING: u32 = 2;

data_type! {
    /// A change that is spread by gossip.
    pub enum GossipItem {
        /// Changed state of a member.
        Member(GossipedMember),
        /// Request of a service that was suspected, quarantined, or lifted from quarantine.
        Quarantine(ServiceName, QuarantineEntry),
        /// Departure of an upstream that the node of a host acknowledged.
        Departure(HostName, RecordedDeparture),
    }

    /// Message that every probe and every response to one carries.
    pub struct GossipMessage {
        /// Host that sends the message.
        pub from: HostName,
        /// Recent changes that the sender knows of.
        #[serde(deserialize_with = "crate::lenient::readable_entries")]
        pub items: Vec<GossipItem>,
        /// Digest of the live members that the sender knows; differs if the views differ.
        pub digest: u64,
        /// Revision of the configuration in force at the sender.
        pub revision: u64,
        /// Highest known number of restorations of the store from an older copy.
        #[serde(default)]
        pub store_era: u64,
        /// Whether the sender calls the store and gets no responses.
        #[serde(default)]
        pub lost_store: bool,
    }
}

#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
enum GossipKey {
    Member(HostName),
    Quarantine(Fingerprint),
    Departure(HostName, InstanceId),
}

impl GossipItem {
    /// Returns the key of the subject; of two items with the same key only the newer one is kept.
    fn key(&self) -> GossipKey {
        match self {
            GossipItem::Member(member) => GossipKey::Member(member.host.clone()),
            GossipItem::Quarantine(_, entry) => GossipKey::Quarantine(entry.fingerprint),
            GossipItem::Departure(host, departure) => {
                GossipKey::Departure(host.clone(), departure.instance.clone())
            }
        }
    }
}

/// Priority of an item: items that were sent least often come first, and of those the newest.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct SendOrder {
    send_count: u32,
    newest_first: Reverse<u64>,
}

/// Queue of the changes to send.
///
/// A newer change of the same member or request replaces the older one. A change is removed when
/// it was sent often enough to reach all members with high probability.
#[derive(Clone, Debug, Default)]
pub struct GossipQueue {
    orders: FastMap<GossipKey, SendOrder>,
    items: BTreeMap<SendOrder, GossipItem>,
    next_sequence: u64,
}

impl GossipQueue {
    /// Adds a change, replacing an older one of the same member or request.
    pub fn push(&mut self, item: GossipItem) {
        self.next_sequence += 1;
        let order = SendOrder { send_count: 0, newest_first: Reverse(self.next_sequence) };
        if let Some(old) = self.orders.insert(item.key(), order) {
            self.items.remove(&old);
        }
        self.items.insert(order, item);
    }

    /// Returns the changes for the next message and counts them as sent once.
    ///
    /// `members` is the number of live members, which determines how often each change is sent.
    pub fn take(&mut self, members: usize) -> Vec<GossipItem> {
        let doublings = usize::BITS - members.leading_zeros() + 1;
        let max_sends = SENDS_PER_DOUBLING * doublings;
        let orders: Vec<SendOrder> = self.items.keys().take(MAX_ITEMS).copied().collect();
        orders.into_iter().filter_map(|order| self.count_send(order, max_sends)).collect()
    }

    /// Returns the number of changes that still have to be sent.
    pub fn len(&self) -> usize {
        self.items.len()
    }

    /// Returns whether no change has to be sent.
    pub fn is_empty(&self) -> bool {
        self.items.is_empty()
    }

    /// Returns the item with this order, and queues it again unless it was sent `max_sends` times.
    fn count_send(&mut self, order: SendOrder, max_sends: u32) -> Option<GossipItem> {
        let item = self.items.remove(&order)?;
        if order.send_count + 1 >= max_sends {
            self.orders.remove(&item.key());
            return Some(item);
        }
        let next = SendOrder { send_count: order.send_count + 1, ..order };
        self.orders.insert(item.key(), next);
        self.items.insert(next, item.clone());
        Some(item)
    }
}
