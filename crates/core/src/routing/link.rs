//! Byte budget for the link between regions.
//!
//! The link is narrow and shared by all nodes, so each node limits the bytes that it sends over
//! it and reserves part of its budget for the most urgent requests.

use crate::class::Rank;
use crate::ewma::Ewma;
use crate::time::Timestamp;

/// Capacity of the budget, in seconds at its rate. It bounds the queue that builds up in front of
/// the link when all nodes spend their balances at once.
const BURST_SECONDS: f64 = 0.25;
/// Share of the capacity that is reserved for more urgent requests, per step of rank.
const RESERVE_PER_RANK: f64 = 0.2;
/// Maximum share of the capacity that is reserved against any rank.
const MAX_RESERVE: f64 = 0.8;
/// Response size assumed before the first response, in bytes.
const ASSUMED_RESPONSE_BYTES: f64 = 8_192.0;
/// Weight of the newest response in the expected size.
const RESPONSE_WEIGHT: f64 = 0.1;

/// Token bucket for a node's share of the link between regions.
///
/// Less urgent ranks are refused while the balance is low, so that urgent requests can use the
/// rest. A request is charged when it is sent, together with the response that is expected for
/// it, so that requests whose responses are outstanding limit further ones. The balance may fall
/// below zero; no request may use the link until it is positive again. It starts at zero, since a
/// process that has just started does not know what it sent before.
#[derive(Clone, Debug)]
pub struct LinkBudget {
    bytes_per_second: f64,
    balance: f64,
    response_bytes: Ewma,
    updated: Timestamp,
}

/// What [`LinkBudget::charge`] charged for the expected response to a request.
#[derive(Clone, Copy, Debug)]
pub struct LinkCharge {
    expected_response_bytes: f64,
}

impl LinkBudget {
    /// Creates a budget with this rate and no balance.
    pub fn new(bytes_per_second: f64, now: Timestamp) -> LinkBudget {
        LinkBudget { bytes_per_second, balance: 0.0, response_bytes: Ewma::default(), updated: now }
    }

    /// Changes the rate and cuts the balance to the new capacity.
    pub fn set_rate(&mut self, now: Timestamp, bytes_per_second: f64) {
        self.refill(now);
        self.bytes_per_second = bytes_per_second;
        self.balance = self.balance.min(self.capacity());
    }

    /// Returns whether a request of this rank may use the link now.
    ///
    /// ```
    /// use snipehollow_core::class::Rank;
    /// use snipehollow_core::routing::LinkBudget;
    /// use snipehollow_core::time::Timestamp;
    ///
    /// let mut link = LinkBudget::new(100_000.0, Timestamp::ZERO);
    /// assert!(!link.allows(Timestamp::ZERO, Rank(0)));
    /// let now = Timestamp::from_millis(300);
    /// let charge = link.charge(now, 10_000);
    /// assert!(link.allows(now, Rank(0)));
    /// assert!(!link.allows(now, Rank(3)));
    /// link.settle(now, charge, 20_000);
    /// assert!(!link.allows(now, Rank(0)));
    /// ```
    pub fn allows(&mut self, now: Timestamp, rank: Rank) -> bool {
        self.refill(now);
        let reserve = (f64::from(rank.0) * RESERVE_PER_RANK).min(MAX_RESERVE);
        self.balance > reserve * self.capacity()
    }

    /// Charges a request that is about to be sent over the link, and the response expected for it.
    pub fn charge(&mut self, now: Timestamp, request_bytes: u64) -> LinkCharge {
        self.refill(now);
        let expected_response_bytes = self.response_bytes.get().unwrap_or(ASSUMED_RESPONSE_BYTES);
        self.balance -= request_bytes as f64 + expected_response_bytes;
        LinkCharge { expected_response_bytes }
    }

    /// Replaces the expected response of a charge with what arrived over the link.
    ///
    /// The charge of a cancelled try is not settled, because its response may still arrive.
    pub fn settle(&mut self, now: Timestamp, charge: LinkCharge, response_bytes: u64) {
        self.refill(now);
        self.balance += charge.expected_response_bytes - response_bytes as f64;
        self.balance = self.balance.min(self.capacity());
        self.response_bytes.add(response_bytes as f64, RESPONSE_WEIGHT);
    }

    fn capacity(&self) -> f64 {
        self.bytes_per_second * BURST_SECONDS
    }

    fn refill(&mut self, now: Timestamp) {
        let elapsed_seconds = now.since(self.updated).as_secs_f64();
        let refilled = self.balance + elapsed_seconds * self.bytes_per_second;
        self.balance = refilled.min(self.capacity());
        self.updated = now;
    }
}
