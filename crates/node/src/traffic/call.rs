//! A call and everything that the node needs to route, admit and run it.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use hyper::header::HeaderValue;
use hyper::{HeaderMap, Method};
use snipehollow_core::class::ClassPolicy;
use snipehollow_core::ids::{CallerKey, Fingerprint, RequestId, ServiceName};
use snipehollow_core::ticket::Ticket;
use snipehollow_core::time::Timestamp;

/// A call that the node is processing, from a caller or from another node.
#[derive(Clone, Debug)]
pub(crate) struct Call {
    pub(crate) id: RequestId,
    pub(crate) service: ServiceName,
    /// `Host` header of a request that was routed by virtual host. The upstream receives it
    /// unchanged; `None` if the request was addressed by a service name in its path.
    pub(crate) virtual_host: Option<HeaderValue>,
    /// Local service of the host whose node is the entry node of this call; `None` if that host has
    /// none.
    pub(crate) caller_service: Option<ServiceName>,
    pub(crate) method: Method,
    /// Path and query that the upstream receives.
    pub(crate) path: String,
    /// Headers that are forwarded to the upstream.
    pub(crate) headers: HeaderMap,
    pub(crate) body: Bytes,
    pub(crate) class: Arc<ClassPolicy>,
    pub(crate) caller: CallerKey,
    /// When the request arrived at this node, on the clock of this process.
    pub(crate) received: Timestamp,
    /// When the response must be complete, on the clock of this process.
    pub(crate) deadline: Timestamp,
    /// When the entry node of the call ends, on the clock of this process; `None` unless that node
    /// is stopping.
    pub(crate) entry_end: Option<Timestamp>,
    pub(crate) fingerprint: Fingerprint,
    pub(crate) ticket: Option<Ticket>,
    /// Whether an upstream died while it was running an earlier try of this request.
    pub(crate) suspect: bool,
    /// Number of the try, counted from 0 by the entry node.
    pub(crate) attempt: u16,
    /// Probability that this run repeats work already done: 1 for a retry, otherwise estimated
    /// from the local runs that may have made the call.
    pub(crate) repeat_share: f64,
}

impl Call {
    /// Returns whether this run counts as a retry: an earlier try may have reached an upstream, or
    /// all local runs that may have made the call are retries.
    pub(crate) fn is_retry(&self) -> bool {
        self.repeat_share >= 1.0
    }

    /// Returns the time by which the response must reach the entry node: the deadline, or the end of
    /// the entry node if that is earlier.
    ///
    /// It limits the wait for a slot. The upstream of a dispatched try is told the deadline.
    pub(crate) fn respond_by(&self) -> Timestamp {
        self.entry_end.map_or(self.deadline, |end| end.min(self.deadline))
    }

    /// Returns the time until which a response has its full worth: the target latency of the
    /// class, or the deadline if that is earlier or the class has no target.
    pub(crate) fn worth_until(&self) -> Timestamp {
        match self.class.target_latency_ms {
            Some(ms) => self.deadline.min(self.received + Duration::from_millis(u64::from(ms))),
            None => self.deadline,
        }
    }
}
