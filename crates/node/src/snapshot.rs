//! What the control thread publishes to the traffic threads.

use snipehollow_config::model::Config;
use snipehollow_core::collections::FastMap;
use snipehollow_core::ids::ServiceName;
use snipehollow_core::routing::Candidate;

/// Immutable view of configuration and hosts.
#[derive(Clone, Debug, Default)]
pub(crate) struct Snapshot {
    /// Configuration in force.
    pub(crate) config: std::sync::Arc<Config>,
    /// Hosts of each service, in all zones.
    pub(crate) hosts: FastMap<ServiceName, Vec<Candidate>>,
    /// Share of the link between regions that this node may use, in bytes per second.
    pub(crate) link_bytes_per_second: f64,
}
