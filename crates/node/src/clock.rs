//! Monotonic clock of the process, and wall-clock readings.

use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use snipehollow_core::time::Timestamp;

/// Monotonic clock that counts from the start of the process.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Clock {
    start: Instant,
}

impl Clock {
    pub(crate) fn new() -> Clock {
        Clock { start: Instant::now() }
    }

    pub(crate) fn now(&self) -> Timestamp {
        Timestamp::from_micros(self.start.elapsed().as_micros() as u64)
    }

    /// Converts a timestamp to an instant, for timers.
    pub(crate) fn instant(&self, at: Timestamp) -> Instant {
        self.start + Duration::from_micros(at.as_micros())
    }
}

/// Returns the wall-clock time in seconds since the Unix epoch. Only for planned stops, whose times
/// operators give in wall-clock time, and for logs.
pub(crate) fn unix_seconds() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |time| time.as_secs())
}

/// Returns the wall-clock time in milliseconds since the Unix epoch. Used to order successive
/// process starts on one host.
pub(crate) fn unix_millis() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |time| time.as_millis() as u64)
}
