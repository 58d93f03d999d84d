//! Departures of upstreams that other members of the zone acknowledged.

use super::departures::RecordedDeparture;
use super::gossip::GossipItem;
use crate::collections::FastMap;
use crate::ids::HostName;

/// Maximum number of hosts with departures; beyond it, departures of further hosts are not kept.
const MAX_HOSTS: usize = 4_096;
/// Maximum number of departures that are kept for a host; the oldest are dropped.
const MAX_PER_HOST: usize = 16;

/// Departures that other members acknowledged, kept for these members in case they are restarted and
/// could not save them.
///
/// ```
/// use snipehollow_core::ids::{HostName, InstanceId};
/// use snipehollow_core::membership::{MemberDepartures, RecordedDeparture};
///
/// let host = HostName::new("h1").unwrap();
/// let instance = InstanceId::new("i-1").unwrap();
/// let departure = RecordedDeparture { instance, start: None, sequence: None, unix_ms: 5_000 };
/// let mut departures = MemberDepartures::default();
/// assert!(departures.record(&host, &departure, 5_000));
/// assert!(!departures.record(&host, &departure, 5_000), "it is known");
/// assert_eq!(departures.items_for(&host, 6_000).len(), 1);
/// ```
#[derive(Clone, Debug, Default)]
pub struct MemberDepartures {
    by_host: FastMap<HostName, Vec<RecordedDeparture>>,
}

impl MemberDepartures {
    /// Records a departure that the node of a host acknowledged; returns whether it is new.
    ///
    /// Removes those that have expired by the Unix time `unix_ms`, in milliseconds.
    pub fn record(&mut self, host: &HostName, departure: &RecordedDeparture, unix_ms: u64) -> bool {
        let is_known = |other: &RecordedDeparture| {
            other.instance == departure.instance && other.unix_ms >= departure.unix_ms
        };
        if departure.time_left(unix_ms).is_none()
            || self.by_host.get(host).is_some_and(|known| known.iter().any(is_known))
        {
            return false;
        }
        self.expire(unix_ms);
        if self.by_host.len() >= MAX_HOSTS && !self.by_host.contains_key(host) {
            return false;
        }
        let known = self.by_host.entry(host.clone()).or_default();
        known.retain(|other| other.instance != departure.instance);
        known.push(departure.clone());
        known.drain(..known.len().saturating_sub(MAX_PER_HOST));
        true
    }

    /// Returns the departures of a host that have not expired, to send to its node.
    pub fn items_for(&self, host: &HostName, unix_ms: u64) -> Vec<GossipItem> {
        let known = self.by_host.get(host).into_iter().flatten();
        known
            .filter(|departure| departure.time_left(unix_ms).is_some())
            .map(|departure| GossipItem::Departure(host.clone(), departure.clone()))
            .collect()
    }

    fn expire(&mut self, unix_ms: u64) {
        self.by_host.retain(|_, departures| {
            departures.retain(|departure| departure.time_left(unix_ms).is_some());
            !departures.is_empty()
        });
    }
}
