//! Allowances remaining for the requests active at one host.

use std::hash::Hash;

use super::Allowance;
use crate::collections::FastMap;

/// What is remaining for one active request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Grant {
    granted: Allowance,
    remaining: Allowance,
    outstanding: Allowance,
}

/// Allowances of the requests active at one host, by the key of the active try.
///
/// Two deeper calls at once each borrow from the same entry under one lock, so both cannot
/// take the last unit.
#[derive(Clone, Debug)]
pub struct AllowanceTable<K> {
    grants: FastMap<K, Grant>,
}

impl<K: Copy + Eq + Hash> AllowanceTable<K> {
    /// Creates an empty table.
    pub fn new() -> AllowanceTable<K> {
        AllowanceTable { grants: FastMap::default() }
    }

    /// Opens the entry of a try that becomes active.
    pub fn open(&mut self, key: K, granted: Allowance) {
        let grant = Grant { granted, remaining: granted, outstanding: Allowance(0) };
        let replaced = self.grants.insert(key, grant);
        invariant!(replaced.is_none(), "allowance of one try opened twice");
    }

    /// Lends to a deeper call; half of what is remaining, rounded up.
    ///
    /// Returns `None` if the try is not active.
    ///
    /// ```
    /// use snipehollow_core::retry::{Allowance, AllowanceTable};
    ///
    /// let mut allowances = AllowanceTable::new();
    /// allowances.open(7, Allowance(1));
    /// assert_eq!(allowances.delegate(7), Some(Allowance(1)));
    /// assert_eq!(allowances.delegate(7), Some(Allowance(0)));
    /// ```
    pub fn delegate(&mut self, key: K) -> Option<Allowance> {
        let grant = self.grants.get_mut(&key)?;
        let delegated = Allowance(grant.remaining.0.div_ceil(2));
        grant.remaining.0 -= delegated.0;
        grant.outstanding.0 += delegated.0;
        Some(delegated)
    }

    /// Takes back what a deeper call did not spend.
    pub fn return_unspent(&mut self, key: K, delegated: Allowance, unspent: Allowance) {
        let Some(grant) = self.grants.get_mut(&key) else {
            return;
        };
        grant.outstanding.0 = grant.outstanding.0.saturating_sub(delegated.0);
        grant.remaining.0 += unspent.0.min(delegated.0);
        invariant!(
            grant.remaining.0 + grant.outstanding.0 <= grant.granted.0,
            "retry allowance grew: {} remaining and {} outstanding of {}",
            grant.remaining.0,
            grant.outstanding.0,
            grant.granted.0
        );
    }

    /// Closes the entry of a try that ended and returns what is left; outstanding loans are
    /// forfeited.
    pub fn close(&mut self, key: K) -> Allowance {
        self.grants.remove(&key).map_or(Allowance(0), |grant| grant.remaining)
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

impl<K: Copy + Eq + Hash> Default for AllowanceTable<K> {
    fn default() -> AllowanceTable<K> {
        AllowanceTable::new()
    }
}
