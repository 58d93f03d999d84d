//! Retry budget of one gate, a bound on the share of retries among its requests.

use std::time::Duration;

use crate::class::Rank;
use crate::time::Timestamp;

/// Retries credited per request. Operators allow at most a fifth of a service's requests as
/// retries. The credit is nine tenths of that, a margin for retries that are made a little later
/// than the requests that allowed them.
const CREDIT_PER_REQUEST: f64 = 0.18;
/// Maximum balance, in retries: the largest burst of retries.
const MAX_BALANCE: f64 = 10.0;
/// Part of the balance, in retries, that only rank 0 may spend.
const RESERVED: f64 = 4.0;
/// Maximum debt, in retries.
const MAX_DEBT: f64 = 50.0;
/// Time in which the balance decays to about a third (1/e), so that credit from before a quiet
/// period cannot pay for a retry storm after it. Half the window over which operators count
/// retries.
const DECAY_TIME_CONSTANT: Duration = Duration::from_secs(5);

/// Bounds the retries that reach an upstream to a share of its requests.
///
/// A gate sees every request and every retry that reaches its upstream, so its count is exact,
/// and the budgets of any number of gates together allow no more than that share of all their
/// requests. A budget starts empty, so that a restarted node needs requests before it retries.
///
/// A call that an upstream makes while it runs a retried request is itself repeated work. Its
/// cost is deducted when it arrives, even if that makes the balance negative; retries are then
/// refused until the balance has recovered.
///
/// ```
/// use snipehollow_core::class::Rank;
/// use snipehollow_core::retry::RetryBudget;
/// use snipehollow_core::time::Timestamp;
///
/// let now = Timestamp::ZERO;
/// let mut budget = RetryBudget::new();
/// assert!(!budget.spend(now, Rank(0)));
/// for _ in 0..10 {
///     budget.record_request(now, 0.0);
/// }
/// assert!(!budget.spend(now, Rank(1)));
/// assert!(budget.spend(now, Rank(0)));
/// assert!(!budget.spend(now, Rank(0)));
/// ```
#[derive(Clone, Debug, Default)]
pub struct RetryBudget {
    balance: f64,
    updated: Timestamp,
}

impl RetryBudget {
    /// Creates an empty budget.
    pub fn new() -> RetryBudget {
        RetryBudget::default()
    }

    /// Credits a request that arrived at the gate, less its expected cost as repeated work.
    ///
    /// `repeat_share` is the probability, from 0 to 1, that the request was made by an upstream
    /// while it ran a retried request.
    pub fn record_request(&mut self, now: Timestamp, repeat_share: f64) {
        self.decay(now);
        let change = CREDIT_PER_REQUEST * (1.0 - repeat_share) - repeat_share;
        self.balance = (self.balance + change).clamp(-MAX_DEBT, MAX_BALANCE);
    }

    /// Spends one retry; returns false if the balance does not allow one for this rank.
    pub fn spend(&mut self, now: Timestamp, rank: Rank) -> bool {
        self.decay(now);
        let reserved = if rank == Rank(0) { 0.0 } else { RESERVED };
        if self.balance < 1.0 + reserved {
            return false;
        }
        self.balance -= 1.0;
        true
    }

    /// Returns the balance in retries; a negative balance is a debt.
    pub fn balance(&self) -> f64 {
        self.balance
    }

    fn decay(&mut self, now: Timestamp) {
        let passed = now.since(self.updated).as_secs_f64();
        self.balance *= (-passed / DECAY_TIME_CONSTANT.as_secs_f64()).exp();
        self.updated = now;
    }
}
