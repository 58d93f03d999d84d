//! Allowances held for the requests active at one host.

use std::hash::Hash;

use super::Allowance;
use crate::collections::FastMap;

/// What is held for one active request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Grant {
    granted: Allowance,
    held: Allowance,
    lent: Allowance,
}

/// Allowances of the requests active at one host, by the key of the active try.
///
/// Two deeper calls at once each borrow from the same entry under one lock, so both cannot
/// take the last unit.
#[derive(Clone, Debug)]
pub struct AllowanceLedger<K> {
    grants: FastMap<K, Grant>,
}

impl<K: Copy + Eq + Hash> AllowanceLedger<K> {
    /// Creates an empty ledger.
    pub fn new() -> AllowanceLedger<K> {
        AllowanceLedger { grants: FastMap::default() }
    }

    /// Opens the entry of a try that becomes active.
    pub fn open(&mut self, key: K, granted: Allowance) {
        let grant = Grant { granted, held: granted, lent: Allowance(0) };
        let replaced = self.grants.insert(key, grant);
        invariant!(replaced.is_none(), "allowance of one try opened twice");
    }

    /// Lends to a deeper call; half of what is held, rounded up.
    ///
    /// Returns `None` if the try is not active.
    ///
    /// ```
    /// use snipehollow_core::retry::{Allowance, AllowanceLedger};
    ///
    /// let mut ledger = AllowanceLedger::new();
    /// ledger.open(7, Allowance(1));
    /// assert_eq!(ledger.borrow(7), Some(Allowance(1)));
    /// assert_eq!(ledger.borrow(7), Some(Allowance(0)));
    /// ```
    pub fn borrow(&mut self, key: K) -> Option<Allowance> {
        let grant = self.grants.get_mut(&key)?;
        let loan = Allowance(grant.held.0.div_ceil(2));
        grant.held.0 -= loan.0;
        grant.lent.0 += loan.0;
        Some(loan)
    }

    /// Takes back what a deeper call did not spend.
    pub fn give_back(&mut self, key: K, loan: Allowance, unspent: Allowance) {
        let Some(grant) = self.grants.get_mut(&key) else {
            return;
        };
        grant.lent.0 = grant.lent.0.saturating_sub(loan.0);
        grant.held.0 += unspent.0.min(loan.0);
        invariant!(
            grant.held.0 + grant.lent.0 <= grant.granted.0,
            "retry allowance grew: {} held and {} lent of {}",
            grant.held.0,
            grant.lent.0,
            grant.granted.0
        );
    }

    /// Closes the entry of a try that ended and returns what is left; outstanding loans are
    /// forfeited.
    pub fn close(&mut self, key: K) -> Allowance {
        self.grants.remove(&key).map_or(Allowance(0), |grant| grant.held)
    }

    /// Returns the number of active tries.
    pub fn len(&self) -> usize {
        self.grants.len()
    }

    /// Tells whether no try is active.
    pub fn is_empty(&self) -> bool {
        self.grants.is_empty()
    }
}

impl<K: Copy + Eq + Hash> Default for AllowanceLedger<K> {
    fn default() -> AllowanceLedger<K> {
        AllowanceLedger::new()
    }
}
