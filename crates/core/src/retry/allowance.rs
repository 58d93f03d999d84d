//! Allowance of one call.

key_type! {
    /// Number of retries that may still be made on behalf of a request.
    #[derive(Default)]
    pub struct Allowance(pub u16);
}

impl Allowance {
    /// Splits off half, rounded down, leaving the larger half here.
    pub fn split_half(&mut self) -> Allowance {
        let half = self.0 / 2;
        self.0 -= half;
        Allowance(half)
    }
}

/// Retries of one call at the host that makes its tries.
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
    /// Starts a call with this allowance.
    pub fn new(total: Allowance) -> RetryState {
        RetryState { remaining: total, total, spent: 0 }
    }

    /// Splits off the part that the next try may use for its deeper calls.
    ///
    /// Half is kept back, so that an answer lost together with its grant can still be
    /// retried here.
    pub fn grant(&mut self) -> Allowance {
        self.remaining.split_half()
    }

    /// Takes back what a try did not spend of its grant.
    ///
    /// A peer that claims more than it was granted gets no more than that credited.
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

    /// Spends one retry; false if none is left.
    pub fn spend(&mut self) -> bool {
        if self.remaining.0 == 0 {
            return false;
        }
        self.remaining.0 -= 1;
        self.spent += 1;
        true
    }

    /// Returns what is left, to be passed back with the answer.
    pub fn unspent(&self) -> Allowance {
        self.remaining
    }

    /// Returns how many retries this call made itself.
    pub fn spent(&self) -> u16 {
        self.spent
    }
}
