//! Actions that the membership protocol requests from its caller.

use std::net::SocketAddr;
use std::time::Duration;

key_type! {
    /// Identifier of one probe, unique in a process.
    pub struct ProbeId(pub u64);
}

/// Action that the caller has to carry out, because [`Membership`](super::Membership) does no
/// input and output itself.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum MemberAction {
    /// Probe a member, then call `on_probe_response` or `on_probe_failed`.
    Probe {
        /// Identifier to report the result with.
        probe: ProbeId,
        /// Control address of the member.
        to: SocketAddr,
    },
    /// Ask a member to probe another one, and call `on_probe_response` with its response, if any.
    ProbeVia {
        /// Identifier of the direct probe that failed.
        probe: ProbeId,
        /// Control address of the member that is asked to probe.
        via: SocketAddr,
        /// Control address of the member to probe.
        target: SocketAddr,
    },
    /// Send the bucket digests to a member, and call `on_sync_response` with its response.
    Sync {
        /// Control address of the member.
        with: SocketAddr,
    },
    /// This process was paused, so its state may be stale.
    Resumed {
        /// Time between the last two ticks.
        gap: Duration,
    },
}
