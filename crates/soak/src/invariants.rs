//! The promises that a soak is held against.

use std::collections::HashMap;

use displaydoc::Display;
use snipehollow_core::outcome::Outcome;

use crate::callers::OrderRecord;

/// A promise that was broken.
#[derive(Clone, Debug, Display, PartialEq, Eq)]
pub enum Violation {
    /// order {body} was run {runs} times
    RunTwice {
        /// Body of the order.
        body: String,
        /// Times it was run.
        runs: usize,
    },
    /// order {body} succeeded for its caller and was never run
    SucceededWithoutRun {
        /// Body of the order.
        body: String,
    },
    /// every answer said that order {body} was not run, but it was
    RanDespiteNotRun {
        /// Body of the order.
        body: String,
    },
    /// {count} answers belonged to other requests
    MismatchedResponses {
        /// How many.
        count: u64,
    },
    /// node {host} went from revision {from} to {to}
    RevisionReverted {
        /// The host.
        host: String,
        /// Revision seen before.
        from: u64,
        /// Revision seen after.
        to: u64,
    },
    /// node {host} ended by itself: {exit_status}
    UnexpectedExit {
        /// The host.
        host: String,
        /// Its exit status.
        exit_status: String,
    },
    /// node {host} did not end in time after it was asked to stop
    StopTimedOut {
        /// The host.
        host: String,
    },
    /// after the faults {problem}
    NotRecovered {
        /// What is wrong.
        problem: String,
    },
}

/// Holds what callers were told of orders against the runs that upstreams wrote down.
pub fn check_orders(orders: &[OrderRecord], runs: &[String]) -> Vec<Violation> {
    let mut counts: HashMap<&str, usize> = HashMap::new();
    for body in runs {
        *counts.entry(body.as_str()).or_default() += 1;
    }
    let mut violations = Vec::new();
    for order in orders {
        let body = order.body.clone();
        let runs = counts.get(body.as_str()).copied().unwrap_or(0);
        let all_not_run = !order.outcomes.is_empty()
            && order.outcomes.iter().all(|outcome| *outcome == Some(Outcome::NotRun));
        if runs > 1 {
            violations.push(Violation::RunTwice { body, runs });
        } else if order.succeeded && runs == 0 {
            violations.push(Violation::SucceededWithoutRun { body });
        } else if all_not_run && runs > 0 {
            violations.push(Violation::RanDespiteNotRun { body });
        }
    }
    violations
}
