//! Queue of one gate, ordered by priority and fair between flows of the same priority.

use std::collections::BTreeMap;

use crate::class::Rank;
use crate::collections::FastMap;
use crate::ids::{CallerKey, ClassName, TryId};
use crate::time::Timestamp;

key_type! {
    /// Whether a request is within the rate limit of its class.
    pub enum Tier {
        /// Within the limit, or the class has none.
        Regular,
        /// In excess of the limit: gets a slot only while no regular request waits.
        #[serde(rename = "spare")]
        Excess,
    }

    /// Importance of a request; the smaller value is dispatched first.
    pub struct Priority {
        /// Regular requests are dispatched before excess requests, whatever their ranks.
        pub tier: Tier,
        /// Rank of the request's class.
        pub rank: Rank,
    }

    /// Position of a request in the queue.
    struct Key {
        priority: Priority,
        finish_tag: u64,
        /// Arrival order; decides between requests with the same finish tag.
        sequence: u64,
    }
}

/// A request that waits for a slot.
#[derive(Clone, Debug)]
pub struct WaitingRequest {
    /// Id of the try, unique in the queue.
    pub id: TryId,
    /// Tier and rank; decides before fairness between flows.
    pub priority: Priority,
    /// Name of the request's class.
    pub class: ClassName,
    /// Caller; with the class it forms the flow for fair queueing.
    pub caller: CallerKey,
    /// Weight of the request's flow among flows of the same priority.
    pub worth: u32,
    /// Time by which the response must be complete.
    pub deadline: Timestamp,
    /// Time for which the request is expected to hold a slot, in microseconds.
    pub expected_service_us: u64,
}

/// Unit of fair queueing: the requests of one class and caller with the same priority.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Flow {
    priority: Priority,
    class: ClassName,
    caller: CallerKey,
}

/// Finish tag units per microsecond of slot time at worth 1, so that integer division by the
/// worth stays precise.
const FINISH_TAG_SCALE: u64 = 1_024;

/// Waiting requests, most important first.
///
/// Requests of the same priority are ordered by weighted fair queueing over flows of (class,
/// caller): each flow receives slot time in proportion to its worth, so a flow that floods the
/// queue delays its own requests and not those of other flows.
#[derive(Clone, Debug, Default)]
pub struct RankedQueue {
    waiting: BTreeMap<Key, WaitingRequest>,
    keys: FastMap<TryId, Key>,
    /// Finish tag of the last request queued for each flow.
    last_finish_tags: FastMap<Flow, u64>,
    /// Highest finish tag dispatched at each priority. A flow that was idle starts from it, so
    /// that it gains nothing from having been idle.
    virtual_times: FastMap<Priority, u64>,
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

    /// Returns whether no request waits.
    pub fn is_empty(&self) -> bool {
        self.waiting.is_empty()
    }

    /// Adds a request behind the earlier ones of its flow.
    pub fn push(&mut self, waiting: WaitingRequest) {
        let key = self.next_key(&waiting);
        self.keys.insert(waiting.id, key);
        self.waiting.insert(key, waiting);
    }

    /// Returns the number of waiting requests with this priority or a more important one.
    ///
    /// A request of this priority that arrives now is dispatched after at most these.
    pub fn count_ahead_of(&self, priority: Priority) -> usize {
        let end = Key { priority, finish_tag: u64::MAX, sequence: u64::MAX };
        self.waiting.range(..end).count()
    }

    /// Removes and returns the most important request, which is next to be dispatched.
    pub fn pop_first(&mut self) -> Option<WaitingRequest> {
        let (key, waiting) = self.waiting.pop_first()?;
        self.keys.remove(&waiting.id);
        let virtual_time = self.virtual_times.entry(key.priority).or_default();
        *virtual_time = key.finish_tag.max(*virtual_time);
        self.clear_flows_if_empty();
        Some(waiting)
    }

    /// Removes and returns the least important request, which is next to be evicted.
    pub fn pop_last(&mut self) -> Option<WaitingRequest> {
        let (_, waiting) = self.waiting.pop_last()?;
        self.keys.remove(&waiting.id);
        self.clear_flows_if_empty();
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

    /// Removes and returns a request by its id.
    pub fn remove(&mut self, id: TryId) -> Option<WaitingRequest> {
        let key = self.keys.remove(&id)?;
        let waiting = self.waiting.remove(&key);
        self.clear_flows_if_empty();
        waiting
    }

    /// Moves the deadline of a request forward to `deadline`, unless it is earlier already.
    ///
    /// Returns whether the request waits.
    pub fn shorten_deadline(&mut self, id: TryId, deadline: Timestamp) -> bool {
        let waiting = self.keys.get(&id).and_then(|key| self.waiting.get_mut(key));
        let Some(waiting) = waiting else {
            return false;
        };
        waiting.deadline = waiting.deadline.min(deadline);
        true
    }

    /// Iterates over the waiting requests, most important first.
    pub fn iter(&self) -> impl Iterator<Item = &WaitingRequest> {
        self.waiting.values()
    }

    /// Returns the key of a new request and advances the finish tag of its flow.
    fn next_key(&mut self, waiting: &WaitingRequest) -> Key {
        let flow = Flow {
            priority: waiting.priority,
            class: waiting.class.clone(),
            caller: waiting.caller.clone(),
        };
        let virtual_time = self.virtual_times.get(&waiting.priority).copied().unwrap_or(0);
        let last = self.last_finish_tags.entry(flow).or_insert(virtual_time);
        let step =
            waiting.expected_service_us.max(1) * FINISH_TAG_SCALE / u64::from(waiting.worth.max(1));
        *last = (*last).max(virtual_time) + step.max(1);
        self.next_sequence += 1;
        Key { priority: waiting.priority, finish_tag: *last, sequence: self.next_sequence }
    }

    /// Clears the state of all flows once the queue is empty, so that the number of flows is
    /// bounded by the requests of one busy period.
    fn clear_flows_if_empty(&mut self) {
        if self.waiting.is_empty() {
            self.last_finish_tags.clear();
            self.virtual_times.clear();
        }
    }
}
