//! Snapshots that the control thread publishes to the traffic threads.

use snipehollow_config::model::Config;
use snipehollow_core::collections::FastMap;
use snipehollow_core::ids::ServiceName;
use snipehollow_core::routing::Candidate;

/// Immutable configuration and host list, shared by all traffic threads without a lock.
#[derive(Clone, Debug, Default)]
pub(crate) struct Snapshot {
    /// Configuration in force; its revision is 0 before the first one.
    pub(crate) config: std::sync::Arc<Config>,
    /// Hosts of each service, in all zones.
    pub(crate) hosts: FastMap<ServiceName, Vec<Candidate>>,
    /// Share of the link between regions that this node may use, in bytes per second.
    pub(crate) link_bytes_per_second: f64,
}
