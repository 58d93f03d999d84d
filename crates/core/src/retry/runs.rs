//! Runs in flight at an upstream, and how far they repeat work.

use std::hash::Hash;

use crate::collections::FastMap;
use crate::ids::ClassName;

/// A run in flight.
#[derive(Clone, Debug)]
struct Run {
    class: ClassName,
    repeat_share: f64,
}

/// Runs in flight at an upstream, each with the probability that it repeats work.
///
/// A call is not tied to the run that makes it, so it repeats work with the mean probability
/// of the runs that may make it.
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
    /// Creates the state without a run.
    pub fn new() -> ActiveRuns<K> {
        ActiveRuns::default()
    }

    /// Records the start of a run that repeats work with a probability from 0 to 1.
    pub fn start(&mut self, id: K, class: &ClassName, repeat_share: f64) {
        self.runs.insert(id, Run { class: class.clone(), repeat_share });
    }

    /// Records the end of a run and returns its class; `None` if it did not start.
    pub fn end(&mut self, id: &K) -> Option<ClassName> {
        self.runs.remove(id).map(|run| run.class)
    }

    /// Returns the probability that a call repeats work which runs of these classes may make;
    /// 0 if none of them is in flight.
    pub fn repeat_share(&self, may_make: impl Fn(&ClassName) -> bool) -> f64 {
        let (mut sum, mut count) = (0.0, 0.0);
        for run in self.runs.values().filter(|run| may_make(&run.class)) {
            sum += run.repeat_share;
            count += 1.0;
        }
        if count > 0.0 { sum / count } else { 0.0 }
    }
}
