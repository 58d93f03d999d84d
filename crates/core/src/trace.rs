//! Buffer of the decisions about recent requests, which `explain` reports.

use std::collections::VecDeque;

use crate::collections::FastMap;
use crate::ids::{HostName, RequestId};
use crate::outcome::Outcome;
use crate::reason::Reason;
use crate::time::Timestamp;

/// Maximum number of decisions that one node keeps for a request; later ones are dropped.
const MAX_STEPS: usize = 64;

key_type! {
    /// Stage of a request's processing at which a decision was made.
    pub enum Stage {
        /// Entry node: class, deadline and retry allowance.
        Entry,
        /// Choice of a host for a try.
        Route,
        /// Admission at the gate.
        Gate,
        /// Run at the upstream.
        Upstream,
        /// Retry after a failed try.
        Retry,
        /// Final response to the caller.
        Answer,
    }
}

data_type! {
    /// One decision about a request.
    pub struct Step {
        /// Time of the decision, in microseconds since the process of the deciding node started.
        pub at: Timestamp,
        /// Stage at which the decision was made.
        pub stage: Stage,
        /// Why the decision was made.
        pub reason: Reason,
        /// Number of the try, counted by the entry node from 0.
        pub attempt: u16,
        /// Host that the decision is about, if any.
        pub host: Option<HostName>,
        /// Outcome of the request, if the decision ends a try.
        pub outcome: Option<Outcome>,
    }
}

impl Step {
    /// Creates a decision with neither host nor outcome.
    pub fn new(at: Timestamp, stage: Stage, reason: Reason, attempt: u16) -> Step {
        Step { at, stage, reason, attempt, host: None, outcome: None }
    }

    /// Sets the host that the decision is about.
    pub fn with_host(mut self, host: &HostName) -> Step {
        self.host = Some(host.clone());
        self
    }

    /// Sets the outcome of the request.
    pub fn with_outcome(mut self, outcome: Outcome) -> Step {
        self.outcome = Some(outcome);
        self
    }
}

/// Bounded buffer of the decisions about the most recent requests.
#[derive(Clone, Debug)]
pub struct TraceBuffer {
    requests: FastMap<RequestId, Vec<Step>>,
    /// Ids of `requests` in the order of their first decision.
    insertion_order: VecDeque<RequestId>,
    max_requests: usize,
}

impl TraceBuffer {
    /// Creates an empty buffer for at most `max_requests` requests.
    pub fn new(max_requests: usize) -> TraceBuffer {
        TraceBuffer { requests: FastMap::default(), insertion_order: VecDeque::new(), max_requests }
    }

    /// Records a decision. If the request is new and the buffer full, the oldest request is
    /// evicted.
    ///
    /// ```
    /// use snipehollow_core::ids::RequestId;
    /// use snipehollow_core::reason::Reason;
    /// use snipehollow_core::time::Timestamp;
    /// use snipehollow_core::trace::{Stage, Step, TraceBuffer};
    ///
    /// let mut traces = TraceBuffer::new(1);
    /// let id = RequestId::new("r-1").unwrap();
    /// traces.add(&id, Step::new(Timestamp::ZERO, Stage::Gate, Reason::SlotFree, 0));
    /// assert_eq!(traces.get(&id).len(), 1);
    /// ```
    pub fn add(&mut self, id: &RequestId, step: Step) {
        if let Some(steps) = self.requests.get_mut(id) {
            if steps.len() < MAX_STEPS {
                steps.push(step);
            }
            return;
        }
        if self.requests.len() >= self.max_requests
            && let Some(oldest) = self.insertion_order.pop_front()
        {
            self.requests.remove(&oldest);
        }
        self.insertion_order.push_back(id.clone());
        self.requests.insert(id.clone(), vec![step]);
    }

    /// Returns the decisions about a request, oldest first; empty if the request is not in the
    /// buffer.
    pub fn get(&self, id: &RequestId) -> &[Step] {
        self.requests.get(id).map_or(&[], Vec::as_slice)
    }

    /// Returns the number of requests in the buffer.
    pub fn len(&self) -> usize {
        self.requests.len()
    }

    /// Returns whether the buffer is empty.
    pub fn is_empty(&self) -> bool {
        self.requests.is_empty()
    }
}
