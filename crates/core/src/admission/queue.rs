//! Queue of one gate, ordered by importance and fair within a rank.

use std::collections::BTreeMap;

use crate::class::Rank;
use crate::collections::FastMap;
use crate::ids::{CallerKey, ClassName, TryId};
use crate::time::Timestamp;

key_type! {
    /// Whether a request is inside its class's rate limit.
    pub enum Tier {
        /// Inside the limit, or the class has none.
        Regular,
        /// Beyond the limit: served only by slots that no regular request wants.
        #[serde(rename = "spare")]
        Excess,
    }

    /// Importance of a request; the smaller value goes first.
    pub struct Priority {
        /// Regular work goes before spare work.
        pub tier: Tier,
        /// Rank of the class.
        pub rank: Rank,
    }

    struct Key {
        priority: Priority,
        finish_tag: u64,
        sequence: u64,
    }
}

/// A request that waits for a slot.
#[derive(Clone, Debug)]
pub struct WaitingRequest {
    /// Id of the try.
    pub id: TryId,
    /// Importance.
    pub priority: Priority,
    /// Class of the request.
    pub class: ClassName,
    /// Caller whose requests share fairly.
    pub caller: CallerKey,
    /// Weight among flows of the same rank.
    pub worth: u32,
    /// Time by which the answer must be complete.
    pub deadline: Timestamp,
    /// Expected time in a slot, in microseconds.
    pub expected_service_us: u64,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Flow {
    priority: Priority,
    class: ClassName,
    caller: CallerKey,
}

/// Scale of finish tags: slot microseconds for worth 1.
const TAG_SCALE: u64 = 1_024;

/// Waiting requests, most important first.
///
/// Within a rank the order is weighted fair queueing over flows of (class, caller): each
/// flow receives slot time in proportion to its worth, so a flood of one flow delays the
/// flood and not its equals.
#[derive(Clone, Debug, Default)]
pub struct RankedQueue {
    waiting: BTreeMap<Key, WaitingRequest>,
    keys: FastMap<TryId, Key>,
    last_tags: FastMap<Flow, u64>,
    virtual_time: FastMap<Priority, u64>,
    next_sequence: u64,
}

impl RankedQueue {
    /// Creates an empty queue.
    pub fn new() -> RankedQueue {
        RankedQueue::default()
    }

    /// Returns the number of waiting requests.
    pub fn len(&self) -> usize {
        self.waiting.len()
    }

    /// Tells whether nothing waits.
    pub fn is_empty(&self) -> bool {
        self.waiting.is_empty()
    }

    /// Adds a request.
    pub fn push(&mut self, waiting: WaitingRequest) {
        let key = self.next_key(&waiting);
        self.keys.insert(waiting.id, key);
        self.waiting.insert(key, waiting);
    }

    /// Returns how many requests would be served before one of this priority arriving now.
    pub fn count_ahead_of(&self, priority: Priority) -> usize {
        let end = Key { priority, finish_tag: u64::MAX, sequence: u64::MAX };
        self.waiting.range(..end).count()
    }

    /// Removes and returns the most important request.
    pub fn pop_first(&mut self) -> Option<WaitingRequest> {
        let (key, waiting) = self.waiting.pop_first()?;
        self.keys.remove(&waiting.id);
        let virtual_time = self.virtual_time.entry(key.priority).or_default();
        *virtual_time = key.finish_tag.max(*virtual_time);
        self.forget_idle_flows();
        Some(waiting)
    }

    /// Removes and returns the least important request.
    pub fn pop_last(&mut self) -> Option<WaitingRequest> {
        let (_, waiting) = self.waiting.pop_last()?;
        self.keys.remove(&waiting.id);
        self.forget_idle_flows();
        Some(waiting)
    }

    /// Returns the least important request.
    pub fn last(&self) -> Option<&WaitingRequest> {
        self.waiting.last_key_value().map(|(_, waiting)| waiting)
    }

    /// Returns the most important request.
    pub fn first(&self) -> Option<&WaitingRequest> {
        self.waiting.first_key_value().map(|(_, waiting)| waiting)
    }

    /// Removes a request by its id.
    pub fn remove(&mut self, id: TryId) -> Option<WaitingRequest> {
        let key = self.keys.remove(&id)?;
        let waiting = self.waiting.remove(&key);
        self.forget_idle_flows();
        waiting
    }

    /// Iterates over the waiting requests, most important first.
    pub fn iter(&self) -> impl Iterator<Item = &WaitingRequest> {
        self.waiting.values()
    }

    fn next_key(&mut self, waiting: &WaitingRequest) -> Key {
        let flow = Flow {
            priority: waiting.priority,
            class: waiting.class.clone(),
            caller: waiting.caller.clone(),
        };
        let now = self.virtual_time.get(&waiting.priority).copied().unwrap_or(0);
        let last = self.last_tags.entry(flow).or_insert(now);
        let step = waiting.expected_service_us.max(1) * TAG_SCALE / u64::from(waiting.worth.max(1));
        *last = (*last).max(now) + step.max(1);
        self.next_sequence += 1;
        Key { priority: waiting.priority, finish_tag: *last, sequence: self.next_sequence }
    }

    /// Drops the flows' tags once nothing waits, so that their number stays bounded by the
    /// requests of one busy period.
    fn forget_idle_flows(&mut self) {
        if self.waiting.is_empty() {
            self.last_tags.clear();
            self.virtual_time.clear();
        }
    }
}
