//! Settings of the membership protocol.

use std::time::Duration;

/// Intervals, timeouts and limits of the membership protocol.
#[derive(Clone, Debug)]
pub struct MembershipConfig {
    /// Length of a protocol period: the interval between two probes.
    pub period: Duration,
    /// Time limit for a direct probe.
    pub probe_timeout: Duration,
    /// Time limit for the indirect probes, counted from the start of the direct one.
    pub indirect_timeout: Duration,
    /// How long a suspected member has to refute the suspicion before it is declared dead.
    pub suspicion_timeout: Duration,
    /// How long members that are dead or have left are kept.
    pub retention: Duration,
    /// Number of members that are asked to probe indirectly.
    pub indirect_probes: usize,
    /// Gap between two ticks beyond which this process is assumed to have been paused.
    pub pause_threshold: Duration,
    /// Minimum time between two synchronizations that this node starts after differing digests.
    pub sync_interval: Duration,
}

impl MembershipConfig {
    /// Creates the default settings: one probe a second, and three seconds to refute a suspicion.
    pub fn new() -> MembershipConfig {
        MembershipConfig {
            period: Duration::from_secs(1),
            probe_timeout: Duration::from_millis(300),
            indirect_timeout: Duration::from_millis(800),
            suspicion_timeout: Duration::from_secs(3),
            retention: Duration::from_secs(600),
            indirect_probes: 3,
            pause_threshold: Duration::from_millis(1_500),
            sync_interval: Duration::from_secs(5),
        }
    }
}

impl Default for MembershipConfig {
    fn default() -> MembershipConfig {
        MembershipConfig::new()
    }
}
