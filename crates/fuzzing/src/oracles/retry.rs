//! Oracle for the retry allowance: counts the retries of a whole call tree.
//!
//! It checks that retries and unspent allowance together never exceed the allowance of the root
//! request.

use snipehollow_core::retry::{Allowance, AllowanceTable, RetryState};

use crate::generators::{CallPlan, TryPlan};
use crate::{Violation, check};

/// A call tree that runs, and the retries that it made.
struct Tree {
    allowances: AllowanceTable<u64>,
    last_try: u64,
    retries: u32,
}

/// Runs a call tree and checks that its retries do not exceed the allowance. Returns the number
/// of retries.
///
/// # Errors
///
/// Returns a violation if allowance was created, or if the entry of a try was left open.
pub fn check_retries(plan: &CallPlan, allowance: u16) -> Result<u32, Violation> {
    let mut tree = Tree { allowances: AllowanceTable::new(), last_try: 0, retries: 0 };
    let unspent = tree.call(plan, Allowance(allowance));
    check!(
        tree.retries <= u32::from(allowance),
        "the call tree made {} retries with an allowance of {allowance}",
        tree.retries
    );
    check!(
        tree.retries + u32::from(unspent.0) <= u32::from(allowance),
        "{} retries and an unspent allowance of {} exceed the allowance of {allowance}",
        tree.retries,
        unspent.0
    );
    check!(
        tree.allowances.is_empty(),
        "{} tries are still open after the call tree ended",
        tree.allowances.len()
    );
    Ok(tree.retries)
}

/// Runs a chain of `depth` nested calls in which every try fails, and returns the number of
/// retries.
///
/// # Errors
///
/// Returns the same violations as [`check_retries`].
pub fn count_retries_in_failing_chain(depth: usize, allowance: u16) -> Result<u32, Violation> {
    check_retries(&failing_chain(depth), allowance)
}

fn failing_chain(depth: usize) -> CallPlan {
    let failing_try = TryPlan {
        nested_calls: if depth > 1 { vec![failing_chain(depth - 1)] } else { Vec::new() },
        concurrent: false,
        fails: true,
        response_lost: false,
    };
    // `Tree::call` uses the last planned try for all later tries too.
    CallPlan { tries: vec![failing_try] }
}

impl Tree {
    /// Runs one call with its retries and returns its unspent allowance.
    fn call(&mut self, plan: &CallPlan, allowance: Allowance) -> Allowance {
        let mut state = RetryState::new(allowance);
        let mut attempt = 0;
        loop {
            let Some(planned) = plan.tries.get(attempt).or(plan.tries.last()) else {
                return state.unspent();
            };
            let granted = state.grant();
            let unspent = self.run_try(planned, granted);
            if !planned.response_lost {
                state.return_unspent(granted, unspent);
            }
            if !planned.fails || !state.spend() {
                return state.unspent();
            }
            self.retries += 1;
            attempt += 1;
        }
    }

    /// Runs one try with its nested calls and returns its unspent allowance.
    fn run_try(&mut self, plan: &TryPlan, granted: Allowance) -> Allowance {
        self.last_try += 1;
        let key = self.last_try;
        self.allowances.open(key, granted);
        if plan.concurrent {
            self.call_concurrently(plan, key);
        } else {
            self.call_sequentially(plan, key);
        }
        self.allowances.close(key)
    }

    fn call_sequentially(&mut self, plan: &TryPlan, key: u64) {
        for nested_call in &plan.nested_calls {
            let delegated = self.allowances.delegate(key).unwrap_or_default();
            let unspent = self.call(nested_call, delegated);
            self.allowances.return_unspent(key, delegated, unspent);
        }
    }

    /// Delegates allowance to all nested calls before any returns its unspent part, as in a
    /// fan-out.
    fn call_concurrently(&mut self, plan: &TryPlan, key: u64) {
        let delegations: Vec<Allowance> = plan
            .nested_calls
            .iter()
            .map(|_| self.allowances.delegate(key).unwrap_or_default())
            .collect();
        for (nested_call, delegated) in plan.nested_calls.iter().zip(delegations) {
            let unspent = self.call(nested_call, delegated);
            self.allowances.return_unspent(key, delegated, unspent);
        }
    }
}
