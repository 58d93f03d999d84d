//! Requests that callers repeat under one id.

use std::collections::VecDeque;

use snipehollow_core::collections::FastMap;
use snipehollow_core::ids::RequestId;

/// Most request ids that are remembered.
const MAX_IDS: usize = 16_384;

/// Counts how often each recent request id was seen.
#[derive(Debug, Default)]
pub(crate) struct CallerRetryTable {
    seen: FastMap<RequestId, u16>,
    order: VecDeque<RequestId>,
}

impl CallerRetryTable {
    /// Records a request and returns how often its id was seen before.
    pub(crate) fn record(&mut self, id: &RequestId) -> u16 {
        if let Some(count) = self.seen.get_mut(id) {
            *count = count.saturating_add(1);
            return *count;
        }
        if self.order.len() >= MAX_IDS
            && let Some(oldest) = self.order.pop_front()
        {
            self.seen.remove(&oldest);
        }
        self.order.push_back(id.clone());
        self.seen.insert(id.clone(), 0);
        0
    }
}
