//! Caller retries, recognized by their request id.

use std::collections::VecDeque;

use snipehollow_core::collections::FastMap;
use snipehollow_core::ids::RequestId;

/// Maximum number of request ids that are kept; beyond it, the oldest one is evicted.
const MAX_IDS: usize = 16_384;

/// Counts the earlier requests with each recent request id.
#[derive(Debug, Default)]
pub(crate) struct CallerRetryTable {
    /// Number of requests with this id after the first one.
    counts: FastMap<RequestId, u16>,
    /// Request ids, oldest first.
    order: VecDeque<RequestId>,
}

impl CallerRetryTable {
    /// Records a request and returns the number of earlier requests with its id.
    pub(crate) fn record(&mut self, id: &RequestId) -> u16 {
        if let Some(count) = self.counts.get_mut(id) {
            *count = count.saturating_add(1);
            return *count;
        }
        if self.order.len() >= MAX_IDS
            && let Some(oldest) = self.order.pop_front()
        {
            self.counts.remove(&oldest);
        }
        self.order.push_back(id.clone());
        self.counts.insert(id.clone(), 0);
        0
    }
}
