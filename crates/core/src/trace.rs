//! Recent decisions by request, for `explain`, in bounded memory.

use std::collections::VecDeque;

use crate::collections::FastMap;
use crate::ids::{HostName, RequestId};
use crate::outcome::Outcome;
use crate::reason::Reason;
use crate::time::Timestamp;

/// Most decisions kept for one request at one host.
const MAX_STEPS: usize = 64;

key_type! {
    /// Part of the path at which a decision was taken.
    pub enum Stage {
        /// Class, deadline and allowance at the entry.
        Entry,
        /// Choice of a host.
        Route,
        /// Admission at the gate.
        Gate,
        /// Run at the upstream.
        Upstream,
        /// Retry after a failed try.
        Retry,
        /// Final answer.
        Answer,
    }
}

data_type! {
    /// One decision.
    pub struct Step {
        /// Time on the deciding host's clock, in microseconds since its start.
        pub at: Timestamp,
        /// Part of the path.
        pub stage: Stage,
        /// Why it was taken.
        pub reason: Reason,
        /// Try number at the entry, from 0.
        pub attempt: u16,
        /// Host the decision is about, if any.
        pub host: Option<HostName>,
        /// What became of the request, if the step ends a try.
        pub outcome: Option<Outcome>,
    }
}

impl Step {
    /// Creates a step without a host and an outcome.
    pub fn new(at: Timestamp, stage: Stage, reason: Reason, attempt: u16) -> Step {
        Step { at, stage, reason, attempt, host: None, outcome: None }
    }

    /// Sets the host that the decision is about.
    pub fn with_host(mut self, host: &HostName) -> Step {
        self.host = Some(host.clone());
        self
    }

    /// Sets what became of the request.
    pub fn with_outcome(mut self, outcome: Outcome) -> Step {
        self.outcome = Some(outcome);
        self
    }
}

/// Decisions about the most recent requests.
#[derive(Clone, Debug)]
pub struct TraceBuffer {
    requests: FastMap<RequestId, Vec<Step>>,
    order: VecDeque<RequestId>,
    max_requests: usize,
}

impl TraceBuffer {
    /// Creates a book of at most this many requests.
    pub fn new(max_requests: usize) -> TraceBuffer {
        TraceBuffer { requests: FastMap::default(), order: VecDeque::new(), max_requests }
    }

    /// Adds a decision; the oldest request is forgotten when the book is full.
    ///
    /// ```
    /// use snipehollow_core::ids::RequestId;
    /// use snipehollow_core::reason::Reason;
    /// use snipehollow_core::time::Timestamp;
    /// use snipehollow_core::trace::{Stage, Step, TraceBuffer};
    ///
    /// let mut book = TraceBuffer::new(1);
    /// let id = RequestId::new("r-1").unwrap();
    /// book.add(&id, Step::new(Timestamp::ZERO, Stage::Gate, Reason::SlotFree, 0));
    /// assert_eq!(book.get(&id).len(), 1);
    /// ```
    pub fn add(&mut self, id: &RequestId, step: Step) {
        if let Some(steps) = self.requests.get_mut(id) {
            if steps.len() < MAX_STEPS {
                steps.push(step);
            }
            return;
        }
        if self.requests.len() >= self.max_requests
            && let Some(oldest) = self.order.pop_front()
        {
            self.requests.remove(&oldest);
        }
        self.order.push_back(id.clone());
        self.requests.insert(id.clone(), vec![step]);
    }

    /// Returns the decisions about a request, oldest first.
    pub fn get(&self, id: &RequestId) -> &[Step] {
        self.requests.get(id).map_or(&[], Vec::as_slice)
    }

    /// Returns the number of requests in the book.
    pub fn len(&self) -> usize {
        self.requests.len()
    }

    /// Tells whether the book is empty.
    pub fn is_empty(&self) -> bool {
        self.requests.is_empty()
    }
}
