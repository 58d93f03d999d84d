//! The process's monotonic clock.

use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use snipehollow_core::time::Timestamp;

/// Clock that counts from the start of the process.
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

    /// Returns the instant of a timestamp, for timers.
    pub(crate) fn instant(&self, at: Timestamp) -> Instant {
        self.start + Duration::from_micros(at.as_micros())
    }
}

/// Returns the wall clock in seconds of Unix time; used for planned stops only.
pub(crate) fn unix_seconds() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |time| time.as_secs())
}

/// Returns the wall clock in milliseconds of Unix time; orders the starts of one host.
pub(crate) fn unix_millis() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |time| time.as_millis() as u64)
}
