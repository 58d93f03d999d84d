//! Byte budget of the link between regions.

use crate::class::Rank;
use crate::time::Timestamp;

/// Time of saved-up budget, in seconds.
const BURST_SECONDS: f64 = 2.0;
/// Share of the burst that each step down in rank leaves untouched.
const RESERVE_PER_RANK: f64 = 0.2;
/// Largest share of the burst that a rank leaves untouched.
const MAX_RESERVE: f64 = 0.8;

/// A node's share of the link between regions; urgent work spends it first.
///
/// A request is charged when it is sent and its answer when it has arrived, so the balance
/// may fall below zero; then nothing crosses until it has recovered.
#[derive(Clone, Debug)]
pub struct LinkBudget {
    bytes_per_second: f64,
    balance: f64,
    updated: Timestamp,
}

impl LinkBudget {
    /// Creates a full budget of this many bytes per second.
    pub fn new(bytes_per_second: f64, now: Timestamp) -> LinkBudget {
        LinkBudget { bytes_per_second, balance: bytes_per_second * BURST_SECONDS, updated: now }
    }

    /// Changes the rate.
    pub fn set_rate(&mut self, now: Timestamp, bytes_per_second: f64) {
        self.refill(now);
        self.bytes_per_second = bytes_per_second;
        self.balance = self.balance.min(bytes_per_second * BURST_SECONDS);
    }

    /// Tells whether a request of this rank may cross.
    ///
    /// ```
    /// use snipehollow_core::class::Rank;
    /// use snipehollow_core::routing::LinkBudget;
    /// use snipehollow_core::time::Timestamp;
    ///
    /// let mut link = LinkBudget::new(1_000.0, Timestamp::ZERO);
    /// link.charge(Timestamp::ZERO, 1_500);
    /// assert!(link.allows(Timestamp::ZERO, Rank(0)));
    /// assert!(!link.allows(Timestamp::ZERO, Rank(3)));
    /// ```
    pub fn allows(&mut self, now: Timestamp, rank: Rank) -> bool {
        self.refill(now);
        let reserve = (f64::from(rank.0) * RESERVE_PER_RANK).min(MAX_RESERVE);
        self.balance > reserve * self.bytes_per_second * BURST_SECONDS
    }

    /// Charges bytes that crossed.
    pub fn charge(&mut self, now: Timestamp, bytes: u64) {
        self.refill(now);
        self.balance -= bytes as f64;
    }

    fn refill(&mut self, now: Timestamp) {
        let passed = now.since(self.updated).as_secs_f64();
        let full = self.bytes_per_second * BURST_SECONDS;
        self.balance = (self.balance + passed * self.bytes_per_second).min(full);
        self.updated = now;
    }
}
