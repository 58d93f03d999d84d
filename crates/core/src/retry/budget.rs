//! Retry budget of one gate.

use std::time::Duration;

use crate::class::Rank;
use crate::time::Timestamp;

/// Repeats earned by one request: nine tenths of what operators allow at most for a service
/// (a fifth), because what was saved is spent a little later.
const CREDIT_PER_REQUEST: f64 = 0.18;
/// Most repeats that may be saved up.
const MAX_BALANCE: f64 = 10.0;
/// Repeats that only the most urgent rank may spend.
const RESERVED: f64 = 4.0;
/// Most repeats that may be owed.
const MAX_DEBT: f64 = 50.0;
/// Time in which what was saved shrinks to a third, so that a quiet period cannot pay for a
/// storm after it. Half the window over which operators count.
const DECAY_TIME_CONSTANT: Duration = Duration::from_secs(5);

/// Bounds the repeats that reach an upstream to a share of its requests.
///
/// A gate sees every request and every repeat that reaches its upstream, so its count is
/// exact, and the budgets of any number of gates add up to no more than the share of all their
/// requests. A budget starts empty: a restarted node earns before it spends. A call that a
/// repeated run makes counts as a repeat by itself: it is charged when it arrives and may leave
/// a debt, which retries then wait for.
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

    /// Takes in a request; `repeat_share` is the probability, from 0 to 1, that a repeated
    /// run made it.
    pub fn record_request(&mut self, now: Timestamp, repeat_share: f64) {
        self.decay(now);
        let change = CREDIT_PER_REQUEST * (1.0 - repeat_share) - repeat_share;
        self.balance = (self.balance + change).clamp(-MAX_DEBT, MAX_BALANCE);
    }

    /// Spends one retry; false if the budget does not allow it for the rank.
    pub fn spend(&mut self, now: Timestamp, rank: Rank) -> bool {
        self.decay(now);
        let reserved = if rank == Rank(0) { 0.0 } else { RESERVED };
        if self.balance < 1.0 + reserved {
            return false;
        }
        self.balance -= 1.0;
        true
    }

    /// Returns the repeats that are saved up; below 0 those owed.
    pub fn balance(&self) -> f64 {
        self.balance
    }

    fn decay(&mut self, now: Timestamp) {
        let passed = now.since(self.updated).as_secs_f64();
        self.balance *= (-passed / DECAY_TIME_CONSTANT.as_secs_f64()).exp();
        self.updated = now;
    }
}
