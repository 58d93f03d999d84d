//! Oracle of the retry allowance: counts every retry of a whole call tree.

use snipehollow_core::retry::{Allowance, AllowanceTable, RetryState};

use crate::generators::{CallPlan, TryPlan};
use crate::{Violation, check};

struct Tree {
    ledger: AllowanceTable<u64>,
    next_try: u64,
    retries: u32,
}

/// Runs a call tree and checks that its retries do not exceed the allowance.
pub fn check_retries(plan: &CallPlan, allowance: u16) -> Result<u32, Violation> {
    let mut tree = Tree { ledger: AllowanceTable::new(), next_try: 0, retries: 0 };
    let left = tree.call(plan, Allowance(allowance));
    check!(
        tree.retries <= u32::from(allowance),
        "{} retries with an allowance of {allowance}",
        tree.retries
    );
    check!(
        tree.retries + u32::from(left.0) <= u32::from(allowance),
        "{} retries and {} left of {allowance}",
        tree.retries,
        left.0
    );
    check!(tree.ledger.is_empty(), "{} tries were never closed", tree.ledger.len());
    Ok(tree.retries)
}

/// Returns the retries of a chain in which the last upstream always fails.
pub fn chain_of_failures(depth: usize, allowance: u16) -> Result<u32, Violation> {
    check_retries(&failing_chain(depth), allowance)
}

fn failing_chain(depth: usize) -> CallPlan {
    let a_try = TryPlan {
        children: if depth > 1 { vec![failing_chain(depth - 1)] } else { Vec::new() },
        at_once: false,
        fails: true,
        answer_lost: false,
    };
    // One plan serves every try: the run repeats the last one.
    CallPlan { tries: vec![a_try] }
}

impl Tree {
    /// Runs one call and returns what it did not spend.
    fn call(&mut self, plan: &CallPlan, allowance: Allowance) -> Allowance {
        let mut state = RetryState::new(allowance);
        let mut number = 0;
        loop {
            let Some(planned) = plan.tries.get(number).or(plan.tries.last()) else {
                return state.unspent();
            };
            let granted = state.grant();
            let unspent = self.a_try(planned, granted);
            if !planned.answer_lost {
                state.return_unspent(granted, unspent);
            }
            if !planned.fails || !state.spend() {
                return state.unspent();
            }
            self.retries += 1;
            number += 1;
        }
    }

    fn a_try(&mut self, plan: &TryPlan, granted: Allowance) -> Allowance {
        self.next_try += 1;
        let key = self.next_try;
        self.ledger.open(key, granted);
        if plan.at_once {
            self.children_at_once(plan, key);
        } else {
            self.children_in_turn(plan, key);
        }
        self.ledger.close(key)
    }

    fn children_in_turn(&mut self, plan: &TryPlan, key: u64) {
        for child in &plan.children {
            let loan = self.ledger.delegate(key).unwrap_or_default();
            let unspent = self.call(child, loan);
            self.ledger.return_unspent(key, loan, unspent);
        }
    }

    /// All borrow before any returns, as in a fan-out.
    fn children_at_once(&mut self, plan: &TryPlan, key: u64) {
        let loans: Vec<Allowance> =
            plan.children.iter().map(|_| self.ledger.delegate(key).unwrap_or_default()).collect();
        for (child, loan) in plan.children.iter().zip(loans) {
            let unspent = self.call(child, loan);
            self.ledger.return_unspent(key, loan, unspent);
        }
    }
}
