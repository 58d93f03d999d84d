//! Byte budget for the link between regions.
//!
//! The link is narrow and shared by all nodes, so each node limits the bytes that it sends over
//! it and reserves part of its budget for the most urgent requests.

use crate::class::Rank;
use crate::time::Timestamp;

/// Capacity of the budget, in seconds at its rate.
const BURST_SECONDS: f64 = 2.0;
/// Share of the capacity that is reserved for more urgent requests, per step of rank.
const RESERVE_PER_RANK: f64 = 0.2;
/// Maximum share of the capacity that is reserved against any rank.
const MAX_RESERVE: f64 = 0.8;

/// Token bucket for a node's share of the link between regions.
///
/// Less urgent ranks are refused while the balance is low, so that urgent requests can use the
/// rest. A request is charged when it is sent and its response when it has arrived, so the
/// balance may fall below zero; no request may use the link until it is positive again.
#[derive(Clone, Debug)]
pub struct LinkBudget {
    bytes_per_second: f64,
    balance: f64,
    updated: Timestamp,
}

impl LinkBudget {
    /// Creates a budget with this rate and a full balance.
    pub fn new(bytes_per_second: f64, now: Timestamp) -> LinkBudget {
        LinkBudget { bytes_per_second, balance: bytes_per_second * BURST_SECONDS, updated: now }
    }

    /// Changes the rate and cuts the balance to the new capacity.
    pub fn set_rate(&mut self, now: Timestamp, bytes_per_second: f64) {
        self.refill(now);
        self.bytes_per_second = bytes_per_second;
        self.balance = self.balance.min(bytes_per_second * BURST_SECONDS);
    }

    /// Returns whether a request of this rank may use the link now.
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

    /// Deducts bytes that were sent or received over the link.
    pub fn charge(&mut self, now: Timestamp, bytes: u64) {
        self.refill(now);
        self.balance -= bytes as f64;
    }

    fn refill(&mut self, now: Timestamp) {
        let elapsed_seconds = now.since(self.updated).as_secs_f64();
        let capacity = self.bytes_per_second * BURST_SECONDS;
        self.balance = (self.balance + elapsed_seconds * self.bytes_per_second).min(capacity);
        self.updated = now;
    }
}
