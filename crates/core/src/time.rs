//! Points in time, passed in by the caller so that runs can be replayed.

use std::ops::Add;
use std::time::Duration;

key_type! {
    /// A point on one process's monotonic clock, in microseconds since that process started.
    ///
    /// Timestamps of different processes can't be compared, so messages between nodes carry
    /// durations.
    #[derive(Default)]
    pub struct Timestamp(u64);
}

impl Timestamp {
    /// The start of the process.
    pub const ZERO: Timestamp = Timestamp(0);

    /// Creates a timestamp from microseconds since the process started.
    pub const fn from_micros(micros: u64) -> Timestamp {
        Timestamp(micros)
    }

    /// Creates a timestamp from milliseconds since the process started.
    pub const fn from_millis(millis: u64) -> Timestamp {
        Timestamp(millis * 1_000)
    }

    /// Returns the microseconds since the process started.
    pub const fn as_micros(self) -> u64 {
        self.0
    }

    /// Returns the time that passed since `earlier`, or zero if `earlier` is later.
    ///
    /// ```
    /// use snipehollow_core::time::Timestamp;
    /// use std::time::Duration;
    ///
    /// let start = Timestamp::from_millis(5);
    /// assert_eq!(Timestamp::from_millis(8).since(start), Duration::from_millis(3));
    /// assert_eq!(start.since(Timestamp::from_millis(8)), Duration::ZERO);
    /// ```
    pub fn since(self, earlier: Timestamp) -> Duration {
        Duration::from_micros(self.0.saturating_sub(earlier.0))
    }
}

impl Add<Duration> for Timestamp {
    type Output = Timestamp;

    fn add(self, rhs: Duration) -> Timestamp {
        let micros = u64::try_from(rhs.as_micros()).unwrap_or(u64::MAX);
        Timestamp(self.0.saturating_add(micros))
    }
}
