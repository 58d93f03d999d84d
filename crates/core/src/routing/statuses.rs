//! What entry nodes know about the upstreams of the hosts that they send requests to.

use std::time::Duration;

use crate::admission::UpstreamStatus;
use crate::collections::FastMap;
use crate::ids::HostName;
use crate::time::Timestamp;

/// How long a status is kept after it was last reported; far longer than the restart of a node.
const RETENTION: Duration = Duration::from_secs(120);
/// Maximum number of hosts whose status is kept; beyond it, the oldest one is evicted.
const MAX_HOSTS: usize = 4_096;

/// Statuses of upstreams by host, as their gates reported them.
///
/// They outlast the time in which a host is not known, because its node may be restarting.
///
/// ```
/// use snipehollow_core::admission::UpstreamStatus;
/// use snipehollow_core::ids::HostName;
/// use snipehollow_core::routing::UpstreamStatuses;
/// use snipehollow_core::time::Timestamp;
///
/// let ms = Timestamp::from_millis;
/// let host = HostName::new("h1").unwrap();
/// let mut statuses = UpstreamStatuses::default();
/// statuses.record(ms(50), &host, UpstreamStatus::parse("17/2.5/0/i-1").unwrap());
/// // A try that was sent earlier says nothing about what came later.
/// statuses.record_absent(ms(40), &host);
/// assert!(statuses.get(ms(60), &host).is_some());
/// statuses.record_absent(ms(55), &host);
/// assert!(statuses.get(ms(60), &host).is_none());
/// ```
#[derive(Clone, Debug, Default)]
pub struct UpstreamStatuses {
    by_host: FastMap<HostName, (UpstreamStatus, Timestamp)>,
}

impl UpstreamStatuses {
    /// Records a status that the gate of a host reported.
    pub fn record(&mut self, now: Timestamp, host: &HostName, status: UpstreamStatus) {
        if self.by_host.len() >= MAX_HOSTS && !self.by_host.contains_key(host) {
            let oldest = self.by_host.iter().min_by_key(|(_, (_, at))| *at);
            if let Some(oldest) = oldest.map(|(host, _)| host.clone()) {
                self.by_host.remove(&oldest);
            }
        }
        self.by_host.insert(host.clone(), (status, now));
    }

    /// Records that the upstream responded to a try sent at `sent` and that its gate reported no
    /// status.
    pub fn record_absent(&mut self, sent: Timestamp, host: &HostName) {
        if self.by_host.get(host).is_some_and(|(_, recorded_at)| sent > *recorded_at) {
            self.by_host.remove(host);
        }
    }

    /// Returns the status of the upstream on a host, if one was reported recently.
    pub fn get(&self, now: Timestamp, host: &HostName) -> Option<&UpstreamStatus> {
        let (status, recorded_at) = self.by_host.get(host)?;
        (now.since(*recorded_at) < RETENTION).then_some(status)
    }
}
