//! Upstreams that said they leave.

use std::time::Duration;

use crate::collections::FastMap;
use crate::ids::InstanceId;
use crate::time::Timestamp;

/// Time for which a departure is remembered: longer than an announcement may be late.
const REMEMBERED: Duration = Duration::from_secs(30);
/// Most departures that are remembered.
const MAX_DEPARTURES: usize = 256;

#[derive(Clone, Copy, Debug)]
struct Departure {
    /// Start that leaves, if it was announced here before.
    start: Option<u64>,
    /// Unix time at which it said so, in milliseconds.
    at_unix_ms: u64,
    until: Timestamp,
}

/// Upstreams that said they leave, so that an announcement which was on its way meanwhile does
/// not bring them back, also where the leave was the first that this node heard of them.
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
    known: FastMap<InstanceId, Departure>,
}

impl Departures {
    /// Records that an upstream leaves; `start` is the number of its start, if it is known.
    pub fn record(
        &mut self,
        now: Timestamp,
        instance: &InstanceId,
        start: Option<u64>,
        unix_ms: u64,
    ) {
        self.known.retain(|_, departure| departure.until > now);
        if self.known.len() >= MAX_DEPARTURES {
            let first = self.known.iter().min_by_key(|(_, d)| d.until).map(|(id, _)| id.clone());
            first.map(|id| self.known.remove(&id));
        }
        let departure = Departure { start, at_unix_ms: unix_ms, until: now + REMEMBERED };
        self.known.insert(instance.clone(), departure);
    }

    /// Tells whether an announcement is by a start that said it leaves.
    ///
    /// A start that was never announced here is told by its time from one that came later:
    /// both are taken from the clock of this host.
    pub fn has_departed(&self, now: Timestamp, instance: &InstanceId, start: u64) -> bool {
        let departure = self.known.get(instance).filter(|departure| departure.until > now);
        departure.is_some_and(|departure| match departure.start {
            Some(left) => start <= left,
            None => start <= departure.at_unix_ms,
        })
    }
}
