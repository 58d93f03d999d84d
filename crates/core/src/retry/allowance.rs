//! Retry allowance of one call.

key_type! {
    /// Number of retries that may still be made on behalf of a request, anywhere in its call
    /// tree.
    #[derive(Default)]
    pub struct Allowance(pub u16);
}

impl Allowance {
    /// Splits off half, rounded down, and returns it; `self` keeps the rest.
    pub fn split_half(&mut self) -> Allowance {
        let half = self.0 / 2;
        self.0 -= half;
        Allowance(half)
    }
}

/// Retry allowance of one call, held by the node that makes its tries.
///
/// ```
/// use snipehollow_core::retry::{Allowance, RetryState};
///
/// let mut state = RetryState::new(Allowance(3));
/// let granted = state.grant();
/// assert_eq!(granted, Allowance(1));
/// state.return_unspent(granted, granted);
/// assert!(state.spend());
/// assert_eq!(state.unspent(), Allowance(2));
/// ```
#[derive(Clone, Debug)]
pub struct RetryState {
    remaining: Allowance,
    total: Allowance,
    spent: u16,
}

impl RetryState {
    /// Creates the state of a call that may use `total` retries, its nested calls included.
    pub fn new(total: Allowance) -> RetryState {
        RetryState { remaining: total, total, spent: 0 }
    }

    /// Splits off the part that the next try may use for its nested calls.
    ///
    /// The larger half stays here, so that a try whose response is lost, and with it the whole
    /// grant, can still be retried.
    pub fn grant(&mut self) -> Allowance {
        self.remaining.split_half()
    }

    /// Adds back the part of its grant that a try did not spend.
    ///
    /// At most `granted` is credited, even if the peer reports more as unspent.
    pub fn return_unspent(&mut self, granted: Allowance, unspent: Allowance) {
        self.remaining.0 += unspent.0.min(granted.0);
        invariant!(
            self.remaining.0 + self.spent <= self.total.0,
            "retry allowance grew: {} remaining and {} spent of {}",
            self.remaining.0,
            self.spent,
            self.total.0
        );
    }

    /// Spends one retry of this call; returns false if none is left.
    pub fn spend(&mut self) -> bool {
        if self.remaining.0 == 0 {
            return false;
        }
        self.remaining.0 -= 1;
        self.spent += 1;
        true
    }

    /// Returns the remaining allowance, which the response carries back to the caller's node.
    pub fn unspent(&self) -> Allowance {
        self.remaining
    }

    /// Returns the number of retries of this call, without those of its nested calls.
    pub fn spent(&self) -> u16 {
        self.spent
    }
}
