//! Estimates of the calls that an upstream makes while it runs requests of each class.
//!
//! A call need not identify the run that makes it, so the call factors are estimated
//! statistically. Over many short windows, a linear regression by least squares explains the
//! number of calls of each class by the time for which runs of each class were in flight. Of
//! each factor, the lower end of the confidence interval is used, so that a chance correlation
//! counts as no call.

use std::time::Duration;

use crate::collections::FastMap;
use crate::ids::ClassName;
use crate::time::Timestamp;

/// Length of a window over which runs and calls are summed up.
const WINDOW: Duration = Duration::from_millis(200);
/// Factor applied to the sums of earlier windows at the end of each window; about a third is left
/// after 30 s.
const WINDOW_DECAY: f64 = 0.9933;
/// Number of standard errors between an estimate and the lower end of its confidence interval.
const CONFIDENCE_STANDARD_ERRORS: f64 = 2.0;
/// Minimum number of windows beyond the number of classes with runs. With fewer, there are no
/// estimates, and every class counts as making every call.
const MIN_DEGREES_OF_FREEDOM: f64 = 20.0;
/// Maximum number of classes of runs, and of classes of calls, that are tracked.
const MAX_CLASSES: usize = 32;

/// Observed runs of one class.
#[derive(Clone, Debug)]
struct ClassRuns {
    class: ClassName,
    in_flight: u32,
    /// Time in flight in the current window, summed over the runs, in seconds.
    window_secs: f64,
    /// Time in flight over all windows with decay, in seconds.
    total_secs: f64,
    /// Number of runs that ended, with the same decay.
    ended_runs: f64,
}

impl ClassRuns {
    fn new(class: &ClassName) -> ClassRuns {
        ClassRuns {
            class: class.clone(),
            in_flight: 0,
            window_secs: 0.0,
            total_secs: 0.0,
            ended_runs: 0.0,
        }
    }
}

/// Observed calls of one class.
#[derive(Clone, Debug)]
struct ClassCalls {
    class: ClassName,
    /// Number of calls in the current window.
    window_calls: f64,
    /// For each class of runs, the decayed sum over windows of its time in flight multiplied by
    /// the number of calls.
    time_call_products: Vec<f64>,
    /// Decayed sum over windows of the squared number of calls.
    squared_calls: f64,
}

/// Estimates the call factors of an upstream: how many calls of each class one run of each class
/// makes.
#[derive(Clone, Debug, Default)]
pub struct CallFactors {
    runs: Vec<ClassRuns>,
    calls: Vec<ClassCalls>,
    /// For each pair of classes of runs, the decayed sum over windows of the product of their
    /// times in flight.
    time_products: Vec<Vec<f64>>,
    /// Decayed number of windows.
    window_count: f64,
    /// Factors above 0 of the classes that runs of the key class call.
    factors: FastMap<ClassName, Vec<(ClassName, f64)>>,
    has_estimates: bool,
    updated: Timestamp,
    window_end: Timestamp,
}

impl CallFactors {
    /// Creates an estimator without observations.
    pub fn new() -> CallFactors {
        CallFactors::default()
    }

    /// Records that the upstream started to run a request of a class.
    pub fn record_run_start(&mut self, now: Timestamp, class: &ClassName) {
        self.advance(now);
        if let Some(i) = self.find_or_add_runs(class) {
            self.runs[i].in_flight += 1;
        }
    }

    /// Records that a run ended; ignored if no run of the class is in flight.
    pub fn record_run_end(&mut self, now: Timestamp, class: &ClassName) {
        self.advance(now);
        let runs = self.runs.iter_mut().find(|runs| runs.class == *class && runs.in_flight > 0);
        if let Some(runs) = runs {
            runs.in_flight -= 1;
            runs.ended_runs += 1.0;
        }
    }

    /// Records a call that the upstream made, by the class of the call.
    pub fn record_call(&mut self, now: Timestamp, class: &ClassName) {
        self.advance(now);
        if let Some(calls) = self.calls.iter_mut().find(|calls| calls.class == *class) {
            calls.window_calls += 1.0;
            return;
        }
        let time_call_products = vec![0.0; self.runs.len()];
        let calls = ClassCalls {
            class: class.clone(),
            window_calls: 1.0,
            time_call_products,
            squared_calls: 0.0,
        };
        if self.calls.len() < MAX_CLASSES {
            self.calls.push(calls);
        } else if let Some(rarest) =
            self.calls.iter_mut().min_by(|a, b| a.squared_calls.total_cmp(&b.squared_calls))
        {
            *rarest = calls;
        }
    }

    /// Returns the classes that one run of a class calls, each with its call factor.
    ///
    /// A factor is the lower end of the confidence interval of the average number of calls. While
    /// there are no estimates, every class of calls is returned with a factor of 1.
    pub fn for_class(&self, class: &ClassName) -> Vec<(&ClassName, f64)> {
        if self.has_estimates {
            let factors = self.factors.get(class).map_or(&[][..], Vec::as_slice);
            return factors.iter().map(|(call, factor)| (call, *factor)).collect();
        }
        self.calls.iter().map(|calls| (&calls.class, 1.0)).collect()
    }

    /// Returns the index of a class of runs, and adds the class if it is new.
    ///
    /// If there are too many classes, a new one replaces the rarest class without a run in
    /// flight; returns `None` if there is none.
    fn find_or_add_runs(&mut self, class: &ClassName) -> Option<usize> {
        if let Some(i) = self.runs.iter().position(|runs| runs.class == *class) {
            return Some(i);
        }
        let runs = ClassRuns::new(class);
        if self.runs.len() < MAX_CLASSES {
            self.runs.push(runs);
            self.time_products.iter_mut().for_each(|row| row.push(0.0));
            self.time_products.push(vec![0.0; self.runs.len()]);
            self.calls.iter_mut().for_each(|calls| calls.time_call_products.push(0.0));
            return Some(self.runs.len() - 1);
        }
        let idle = self.runs.iter().enumerate().filter(|(_, runs)| runs.in_flight == 0);
        let (i, _) = idle.min_by(|(_, a), (_, b)| a.total_secs.total_cmp(&b.total_secs))?;
        self.runs[i] = runs;
        self.time_products[i].fill(0.0);
        self.time_products.iter_mut().for_each(|row| row[i] = 0.0);
        self.calls.iter_mut().for_each(|calls| calls.time_call_products[i] = 0.0);
        Some(i)
    }

    /// Returns whether there are enough observations to estimate a factor for each class.
    pub fn has_estimates(&self) -> bool {
        self.has_estimates
    }

    /// Returns the call factor of one class of calls for runs of a class, as
    /// [`CallFactors::for_class`] does; 0 if the runs make no such call.
    pub fn factor(&self, class: &ClassName, call: &ClassName) -> f64 {
        if !self.has_estimates {
            return if self.calls.iter().any(|calls| calls.class == *call) { 1.0 } else { 0.0 };
        }
        let factors = self.factors.get(class).map_or(&[][..], Vec::as_slice);
        factors.iter().find(|(known, _)| known == call).map_or(0.0, |(_, factor)| *factor)
    }

    fn advance(&mut self, now: Timestamp) {
        let passed = now.since(self.updated).as_secs_f64();
        self.updated = now;
        for runs in &mut self.runs {
            runs.window_secs += f64::from(runs.in_flight) * passed;
        }
        if now >= self.window_end {
            self.window_end = now + WINDOW;
            self.end_window();
        }
    }

    /// Adds the current window to the sums; ignores it if no run was in flight.
    fn end_window(&mut self) {
        if self.runs.iter().all(|runs| runs.window_secs == 0.0) {
            self.calls.iter_mut().for_each(|calls| calls.window_calls = 0.0);
            return;
        }
        let times: Vec<f64> = self.runs.iter().map(|runs| runs.window_secs).collect();
        for (row, time) in self.time_products.iter_mut().zip(&times) {
            row.iter_mut()
                .zip(&times)
                .for_each(|(sum, other)| *sum = *sum * WINDOW_DECAY + time * other);
        }
        for calls in &mut self.calls {
            let call_count = std::mem::take(&mut calls.window_calls);
            for (sum, time) in calls.time_call_products.iter_mut().zip(&times) {
                *sum = *sum * WINDOW_DECAY + time * call_count;
            }
            calls.squared_calls = calls.squared_calls * WINDOW_DECAY + call_count * call_count;
        }
        for runs in &mut self.runs {
            runs.total_secs =
                runs.total_secs * WINDOW_DECAY + std::mem::take(&mut runs.window_secs);
            runs.ended_runs *= WINDOW_DECAY;
        }
        self.window_count = self.window_count * WINDOW_DECAY + 1.0;
        self.update_factors();
    }

    /// Solves the regression and stores the lower end of each confidence interval as a factor.
    fn update_factors(&mut self) {
        self.factors.clear();
        let used = self.runs.iter().filter(|runs| runs.total_secs > 0.0).count();
        let degrees_of_freedom = self.window_count - used as f64;
        let inverse =
            invert(&self.time_products).filter(|_| degrees_of_freedom >= MIN_DEGREES_OF_FREEDOM);
        self.has_estimates = inverse.is_some();
        let Some(inverse) = inverse else {
            return;
        };
        for calls in &self.calls {
            let fit: Vec<f64> =
                inverse.iter().map(|row| dot(row, &calls.time_call_products)).collect();
            let error = (calls.squared_calls - dot(&fit, &calls.time_call_products)).max(0.0)
                / degrees_of_freedom;
            for (i, runs) in self.runs.iter().enumerate() {
                let lower_bound =
                    fit[i] - CONFIDENCE_STANDARD_ERRORS * (error * inverse[i][i].max(0.0)).sqrt();
                let factor = lower_bound * runs.total_secs / runs.ended_runs.max(1.0);
                if factor > 0.0 {
                    let class_factors = self.factors.entry(runs.class.clone()).or_default();
                    class_factors.push((calls.class.clone(), factor));
                }
            }
        }
    }
}

fn dot(a: &[f64], b: &[f64]) -> f64 {
    a.iter().zip(b).map(|(a, b)| a * b).sum()
}

/// Inverts a symmetric matrix by Gauss-Jordan elimination.
///
/// The row of a class that never ran is all zeros in the matrix and in the result. Returns `None`
/// if the matrix is singular: two classes always run together and cannot be distinguished.
fn invert(matrix: &[Vec<f64>]) -> Option<Vec<Vec<f64>>> {
    let size = matrix.len();
    let used: Vec<usize> = (0..size).filter(|i| matrix[*i][*i] > 0.0).collect();
    let mut rows: Vec<Vec<f64>> = used
        .iter()
        .enumerate()
        .map(|(row, i)| {
            let mut augmented: Vec<f64> = used.iter().map(|k| matrix[*i][*k]).collect();
            augmented.extend((0..used.len()).map(|k| if k == row { 1.0 } else { 0.0 }));
            augmented
        })
        .collect();
    for pivot in 0..used.len() {
        let largest = (pivot..used.len())
            .max_by(|a, b| rows[*a][pivot].abs().total_cmp(&rows[*b][pivot].abs()))?;
        rows.swap(pivot, largest);
        let scale = rows[pivot][pivot];
        if scale.abs() < 1e-9 {
            return None;
        }
        rows[pivot].iter_mut().for_each(|value| *value /= scale);
        let pivot_row = rows[pivot].clone();
        for (_, row) in rows.iter_mut().enumerate().filter(|(i, _)| *i != pivot) {
            let factor = row[pivot];
            row.iter_mut()
                .zip(&pivot_row)
                .for_each(|(value, pivot_value)| *value -= factor * pivot_value);
        }
    }
    let mut inverse = vec![vec![0.0; size]; size];
    for (row, i) in used.iter().enumerate() {
        for (column, k) in used.iter().enumerate() {
            inverse[*i][*k] = rows[row][used.len() + column];
        }
    }
    Some(inverse)
}
