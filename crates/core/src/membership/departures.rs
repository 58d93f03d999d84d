//! Recent departures of upstreams.

use std::time::Duration;

use crate::collections::FastMap;
use crate::ids::InstanceId;
use crate::time::Timestamp;

/// How long a departure is kept; longer than any announcement is delayed.
const RETENTION: Duration = Duration::from_secs(30);
/// Maximum number of departures that are kept; beyond it, the oldest one is evicted.
const MAX_DEPARTURES: usize = 256;

data_type! {
    /// Departure of an upstream, as a node stores it for the time after its own restart.
    pub struct RecordedDeparture {
        /// Id of the process that departs.
        pub instance: InstanceId,
        /// Number of its process start; `None` if the node had no announcement of it.
        pub start: Option<u64>,
        /// Sequence number of the announcement that told the departure, which only a later
        /// announcement takes back; `None` if the departure is final.
        pub sequence: Option<u64>,
        /// Unix time of the departure, in milliseconds.
        pub unix_ms: u64,
    }
}

impl RecordedDeparture {
    /// Returns the time for which the departure is still kept; `None` if it has expired.
    pub fn time_left(&self, unix_ms: u64) -> Option<Duration> {
        let age = Duration::from_millis(unix_ms.saturating_sub(self.unix_ms));
        RETENTION.checked_sub(age).filter(|left| !left.is_zero())
    }
}

#[derive(Clone, Debug)]
struct Departure {
    recorded: RecordedDeparture,
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
/// assert!(departures.has_departed(Timestamp::ZERO, &id, 4_000, 1));
/// assert!(!departures.has_departed(Timestamp::ZERO, &id, 6_000, 1));
/// ```
#[derive(Clone, Debug, Default)]
pub struct Departures {
    by_instance: FastMap<InstanceId, Departure>,
}

impl Departures {
    /// Records the final departure of an upstream at this Unix time, in milliseconds.
    ///
    /// `start` is the number of its process start, or `None` if this node does not know it.
    pub fn record(
        &mut self,
        now: Timestamp,
        instance: &InstanceId,
        start: Option<u64>,
        unix_ms: u64,
    ) {
        let instance = instance.clone();
        self.restore(now, RecordedDeparture { instance, start, sequence: None, unix_ms }, unix_ms);
    }

    /// Records a departure that was stored earlier, unless it has expired by the Unix time
    /// `unix_ms`, in milliseconds, or a later one of the same instance is known.
    pub fn restore(&mut self, now: Timestamp, recorded: RecordedDeparture, unix_ms: u64) {
        let Some(left) = recorded.time_left(unix_ms) else {
            return;
        };
        self.by_instance.retain(|_, departure| departure.expires > now);
        if self.by_instance.len() >= MAX_DEPARTURES {
            let oldest =
                self.by_instance.iter().min_by_key(|(_, d)| d.expires).map(|(id, _)| id.clone());
            oldest.map(|id| self.by_instance.remove(&id));
        }
        let known = self.by_instance.get(&recorded.instance);
        if known.is_some_and(|known| known.recorded.unix_ms > recorded.unix_ms) {
            return;
        }
        let instance = recorded.instance.clone();
        self.by_instance.insert(instance, Departure { recorded, expires: now + left });
    }

    /// Returns whether an announcement with this start and sequence number comes from a process
    /// start that has departed, and does not take the departure back.
    ///
    /// If the departed start is unknown, every start up to the time of the departure counts as
    /// departed. This works because start numbers and departure times are Unix times in
    /// milliseconds from the clock of the same host.
    pub fn has_departed(
        &self,
        now: Timestamp,
        instance: &InstanceId,
        start: u64,
        sequence: u64,
    ) -> bool {
        let departure = self.by_instance.get(instance).filter(|departure| departure.expires > now);
        departure.is_some_and(|Departure { recorded, .. }| {
            let is_taken_back = recorded
                .sequence
                .is_some_and(|told| recorded.start == Some(start) && sequence > told);
            start <= recorded.start.unwrap_or(recorded.unix_ms) && !is_taken_back
        })
    }
}
