//! What the protocol asks its caller to do.

use std::net::SocketAddr;
use std::time::Duration;

key_type! {
    /// Number of one probe.
    pub struct ProbeId(pub u64);
}

/// What the caller has to do.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum MemberAction {
    /// Probe a member; report with `on_probe_response` or `on_probe_failed`.
    Probe {
        /// Number of the probe.
        probe: ProbeId,
        /// Address of the member.
        to: SocketAddr,
    },
    /// Ask a member to probe another one; report an answer with `on_probe_response`.
    ProbeVia {
        /// Number of the probe.
        probe: ProbeId,
        /// Address of the member that is asked.
        via: SocketAddr,
        /// Address of the member to probe.
        target: SocketAddr,
    },
    /// Send the bucket digests to a member and take in its answer with `on_sync_response`.
    Sync {
        /// Address of the member.
        with: SocketAddr,
    },
    /// This process was paused: what it believed may be stale.
    Resumed {
        /// Length of the pause.
        gap: Duration,
    },
}
