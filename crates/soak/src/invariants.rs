//! Guarantees that a soak checks, and the check of orders against the runs of upstreams.

use std::collections::HashMap;

use displaydoc::Display;
use snipehollow_core::outcome::Outcome;
use snipehollow_standins::upstream::CORRUPT;

use crate::callers::OrderRecord;

/// Violated guarantee.
#[derive(Clone, Debug, Display, PartialEq, Eq)]
pub enum Violation {
    /// order {body} ran {runs} times, which is more than once
    RunTwice {
        /// Body of the order.
        body: String,
        /// Number of runs that upstreams recorded.
        runs: usize,
    },
    /// {run}: an upstream received a body that is not as its caller sent it
    CorruptBody {
        /// Record of the run.
        run: String,
    },
    /// order {body} was reported as a success to its caller but never ran
    SucceededWithoutRun {
        /// Body of the order.
        body: String,
    },
    /// every response reported order {body} as not run, but it ran
    RanDespiteNotRun {
        /// Body of the order.
        body: String,
    },
    /// {count} responses belonged to other requests
    MismatchedResponses {
        /// Number of mismatched responses.
        count: u64,
    },
    /// node {host} went back from revision {from} to {to}
    RevisionReverted {
        /// Host of the node.
        host: String,
        /// Revision that was in force before.
        from: u64,
        /// Lower revision that was seen afterwards.
        to: u64,
    },
    /// node {host} exited unexpectedly: {exit_status}
    UnexpectedExit {
        /// Host of the node.
        host: String,
        /// Exit status of its process.
        exit_status: String,
    },
    /// node {host} did not exit in time after SIGTERM
    StopTimedOut {
        /// Host of the node.
        host: String,
    },
    /// upstream {host} got {arrived} requests where its rate limit allows {allowed}
    RateLimitExceeded {
        /// Host of the upstream.
        host: String,
        /// Requests that arrived while it named the limit.
        arrived: u64,
        /// Requests that were allowed in that time.
        allowed: u64,
    },
    /// after the faults {problem}
    NotRecovered {
        /// Node and what is wrong with it after the last fault has ended.
        problem: String,
    },
}

/// Compares the outcomes reported to callers with the runs that upstreams recorded.
///
/// `runs` has the body of an order once per run. Reports at most one violation per order. An order
/// with an unknown outcome may have run once or not at all.
pub fn check_orders(orders: &[OrderRecord], runs: &[String]) -> Vec<Violation> {
    let mut counts: HashMap<&str, usize> = HashMap::new();
    for body in runs {
        *counts.entry(body.as_str()).or_default() += 1;
    }
    let corrupt = runs.iter().filter(|run| run.starts_with(CORRUPT));
    let mut violations: Vec<Violation> =
        corrupt.map(|run| Violation::CorruptBody { run: run.clone() }).collect();
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
