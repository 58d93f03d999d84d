//! Recent departures of upstreams.

use std::time::Duration;

use crate::collections::FastMap;
use crate::ids::InstanceId;
use crate::time::Timestamp;

/// How long a departure is kept; longer than any announcement is delayed.
const RETENTION: Duration = Duration::from_secs(30);
/// Maximum number of departures that are kept; beyond it, the oldest one is evicted.
const MAX_DEPARTURES: usize = 256;

#[derive(Clone, Copy, Debug)]
struct Departure {
    /// Number of the process start that departs; `None` if this node had no announcement of it.
    start: Option<u64>,
    /// Unix time of the departure, in milliseconds.
    departed_unix_ms: u64,
    expires: Timestamp,
}

/// Tombstones of upstreams that have announced their departure.
///
/// They keep a delayed announcement from registering a departed upstream again. This also works
/// if the departure is the first message that this node receives from the upstream.
///
/// ```
/// use snipehollow_core::ids::InstanceId;
/// use snipehollow_core::membership::Departures;
/// use snipehollow_core::time::Timestamp;
///
/// let id = InstanceId::new("i-1").unwrap();
/// let mut departures = Departures::default();
/// departures.record(Timestamp::ZERO, &id, None, 5_000);
/// assert!(departures.has_departed(Timestamp::ZERO, &id, 4_000));
/// assert!(!departures.has_departed(Timestamp::ZERO, &id, 6_000));
/// ```
#[derive(Clone, Debug, Default)]
pub struct Departures {
    by_instance: FastMap<InstanceId, Departure>,
}

impl Departures {
    /// Records the departure of an upstream at this Unix time, in milliseconds.
    ///
    /// `start` is the number of its process start, or `None` if this node does not know it.
    pub fn record(
        &mut self,
        now: Timestamp,
        instance: &InstanceId,
        start: Option<u64>,
        unix_ms: u64,
    ) {
        self.by_instance.retain(|_, departure| departure.expires > now);
        if self.by_instance.len() >= MAX_DEPARTURES {
            let oldest =
                self.by_instance.iter().min_by_key(|(_, d)| d.expires).map(|(id, _)| id.clone());
            oldest.map(|id| self.by_instance.remove(&id));
        }
        let departure = Departure { start, departed_unix_ms: unix_ms, expires: now + RETENTION };
        self.by_instance.insert(instance.clone(), departure);
    }

    /// Returns whether an announcement comes from a process start that has departed.
    ///
    /// If the departed start is unknown, every start up to the time of the departure counts as
    /// departed. This works because start numbers and departure times are Unix times in
    /// milliseconds from the clock of the same host.
    pub fn has_departed(&self, now: Timestamp, instance: &InstanceId, start: u64) -> bool {
        let departure = self.by_instance.get(instance).filter(|departure| departure.expires > now);
        departure.is_some_and(|departure| match departure.start {
            Some(departed) => start <= departed,
            None => start <= departure.departed_unix_ms,
        })
    }
}
