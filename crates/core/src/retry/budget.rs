//! Retry budget of one service at one host.

/// Retries earned by one first try.
const EARNED_PER_TRY: f64 = 0.1;
/// Most retries that may be saved up.
const MAX_SAVED: f64 = 10.0;

/// Bounds retries to a ratio of first tries, so that a failing service is not stormed.
///
/// ```
/// use snipehollow_core::retry::RetryBudget;
///
/// let mut budget = RetryBudget::new();
/// let allowed = (0..100).filter(|_| budget.spend()).count();
/// assert_eq!(allowed, 10);
/// ```
#[derive(Clone, Debug)]
pub struct RetryBudget {
    saved: f64,
}

impl RetryBudget {
    /// Creates a full budget.
    pub fn new() -> RetryBudget {
        RetryBudget { saved: MAX_SAVED }
    }

    /// Takes in a first try.
    pub fn earn(&mut self) {
        self.saved = (self.saved + EARNED_PER_TRY).min(MAX_SAVED);
    }

    /// Spends one retry; false if the budget is spent.
    pub fn spend(&mut self) -> bool {
        if self.saved < 1.0 {
            return false;
        }
        self.saved -= 1.0;
        true
    }
}

impl Default for RetryBudget {
    fn default() -> RetryBudget {
        RetryBudget::new()
    }
}
