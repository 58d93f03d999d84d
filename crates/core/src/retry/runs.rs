//! Requests that an upstream is running, and how likely each is to be repeated work.

use std::hash::Hash;

use crate::collections::FastMap;
use crate::ids::ClassName;

#[derive(Clone, Debug)]
struct Run {
    class: ClassName,
    repeat_share: f64,
}

/// Requests that an upstream is running, each with the probability that it is repeated work: a
/// caller retry, a retry of a node, or a call made by the run of one.
///
/// Which run makes a call is not tracked here, so a call counts as repeated work with the mean
/// probability of all runs that may have made it.
///
/// ```
/// use snipehollow_core::ids::ClassName;
/// use snipehollow_core::retry::ActiveRuns;
///
/// let (order, report) = (ClassName::new("order").unwrap(), ClassName::new("report").unwrap());
/// let mut runs = ActiveRuns::new();
/// runs.start(1, &order, 0.5);
/// runs.start(2, &report, 1.0);
/// assert_eq!(runs.repeat_share(|class| *class == order), 0.5);
/// ```
#[derive(Clone, Debug)]
pub struct ActiveRuns<K> {
    runs: FastMap<K, Run>,
}

impl<K> Default for ActiveRuns<K> {
    fn default() -> ActiveRuns<K> {
        ActiveRuns { runs: FastMap::default() }
    }
}

impl<K: Eq + Hash> ActiveRuns<K> {
    /// Creates an empty set of runs.
    pub fn new() -> ActiveRuns<K> {
        ActiveRuns::default()
    }

    /// Records the start of a run; `repeat_share` is the probability, from 0 to 1, that it is
    /// repeated work.
    pub fn start(&mut self, id: K, class: &ClassName, repeat_share: f64) {
        self.runs.insert(id, Run { class: class.clone(), repeat_share });
    }

    /// Records the end of a run and returns its class, or `None` if no such run was started.
    pub fn end(&mut self, id: &K) -> Option<ClassName> {
        self.runs.remove(id).map(|run| run.class)
    }

    /// Returns the probability that a call of the upstream is repeated work, or 0 if no run may
    /// have made the call.
    ///
    /// `may_call` returns whether runs of a class may make the call.
    pub fn repeat_share(&self, may_call: impl Fn(&ClassName) -> bool) -> f64 {
        let (mut sum, mut count) = (0.0, 0.0);
        for run in self.runs.values().filter(|run| may_call(&run.class)) {
            sum += run.repeat_share;
            count += 1.0;
        }
        if count > 0.0 { sum / count } else { 0.0 }
    }
}
