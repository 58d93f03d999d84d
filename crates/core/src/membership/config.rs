//! Times of the protocol.

use std::time::Duration;

/// Times of the protocol.
#[derive(Clone, Debug)]
pub struct MembershipConfig {
    /// Time between two probes.
    pub period: Duration,
    /// Time after which a direct probe has failed.
    pub probe_timeout: Duration,
    /// Time after which the indirect probes have failed, from the start of the probe.
    pub indirect_timeout: Duration,
    /// Time in which a suspect may refute.
    pub suspicion_timeout: Duration,
    /// Time for which dead and left members are remembered.
    pub retention: Duration,
    /// Members asked to probe indirectly.
    pub indirect_probes: usize,
    /// Gap between two ticks that is taken as a pause of this process.
    pub pause_threshold: Duration,
    /// Least time between two synchronizations that this node starts.
    pub sync_interval: Duration,
}

impl MembershipConfig {
    /// Creates the default times: a probe a second, suspicion of three seconds.
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
