//! Retry allowances of the tries that run at one host.

use std::hash::Hash;

use super::Allowance;
use crate::collections::FastMap;

/// Retry allowance granted to one running try, and how much of it is left.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Grant {
    granted: Allowance,
    remaining: Allowance,
    /// Delegated to nested calls that have not ended yet.
    outstanding: Allowance,
}

/// Retry allowances of the tries that run at one host, by the key of the try.
///
/// The nested calls of one try all take their allowance from its entry, under the lock that the
/// owner of the table holds. Two concurrent calls can therefore never use the same unit.
#[derive(Clone, Debug)]
pub struct AllowanceTable<K> {
    grants: FastMap<K, Grant>,
}

impl<K: Copy + Eq + Hash> AllowanceTable<K> {
    /// Creates an empty table.
    pub fn new() -> AllowanceTable<K> {
        AllowanceTable { grants: FastMap::default() }
    }

    /// Adds the entry of a try that starts to run.
    pub fn open(&mut self, key: K, granted: Allowance) {
        let grant = Grant { granted, remaining: granted, outstanding: Allowance(0) };
        let replaced = self.grants.insert(key, grant);
        invariant!(replaced.is_none(), "retry allowance of one try was opened twice");
    }

    /// Delegates half of the remaining allowance, rounded up, to a nested call of a try.
    ///
    /// Returns `None` if the try is not running.
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

    /// Adds back the part of its `delegated` allowance that a nested call did not spend.
    ///
    /// At most `delegated` is credited. Does nothing if the try has ended.
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

    /// Removes the entry of a try that ended and returns its remaining allowance.
    ///
    /// Allowance that nested calls have not returned by then is forfeited.
    pub fn close(&mut self, key: K) -> Allowance {
        self.grants.remove(&key).map_or(Allowance(0), |grant| grant.remaining)
    }

    /// Returns the number of running tries.
    pub fn len(&self) -> usize {
        self.grants.len()
    }

    /// Returns whether no try is running.
    pub fn is_empty(&self) -> bool {
        self.grants.is_empty()
    }
}

impl<K: Copy + Eq + Hash> Default for AllowanceTable<K> {
    fn default() -> AllowanceTable<K> {
        AllowanceTable::new()
    }
}
