//! Calls that an upstream makes while it runs requests of each class.
//!
//! A call is not tied to the request that it is made for, so the factors are estimated from
//! counts: over many short windows, the calls of each kind are explained by the time that
//! runs of each class were in flight, with the least squared error. Of each factor the lower
//! end of its confidence interval is given, so that what may be chance counts as no call.

use std::time::Duration;

use crate::collections::FastMap;
use crate::ids::ClassName;
use crate::time::Timestamp;

/// Length of a window.
const WINDOW: Duration = Duration::from_millis(200);
/// Share of the older windows that is kept with each new one; a third is left after 30 s.
const KEPT: f64 = 0.9933;
/// Standard errors between a factor and the lower end that is given.
const ERRORS: f64 = 2.0;
/// Windows before which every class counts as making every call.
const MIN_WINDOWS: f64 = 20.0;
/// Most classes of runs, and most kinds of calls, that are told apart.
const MAX_CLASSES: usize = 32;

/// Runs of one class.
#[derive(Clone, Debug)]
struct Runs {
    class: ClassName,
    in_flight: u32,
    /// Time in flight of all its runs in this window, in seconds.
    window: f64,
    /// The same over all windows, and the runs that ended in it.
    seconds: f64,
    ended: f64,
}

impl Runs {
    fn new(class: &ClassName) -> Runs {
        Runs { class: class.clone(), in_flight: 0, window: 0.0, seconds: 0.0, ended: 0.0 }
    }
}

/// Calls of one kind.
#[derive(Clone, Debug)]
struct Calls {
    class: ClassName,
    /// Calls in this window.
    window: f64,
    /// Sums over windows of products of times in flight and calls.
    products: Vec<f64>,
    /// Sum over windows of squared calls.
    square: f64,
}

/// Estimates how many calls of each kind one run of each class makes.
#[derive(Clone, Debug, Default)]
pub struct CallFactors {
    runs: Vec<Runs>,
    calls: Vec<Calls>,
    /// Sums over windows of products of times in flight.
    squares: Vec<Vec<f64>>,
    /// Windows that the sums stand for.
    windows: f64,
    factors: FastMap<ClassName, Vec<(ClassName, f64)>>,
    has_estimates: bool,
    updated: Timestamp,
    window_ends: Timestamp,
}

impl CallFactors {
    /// Creates an estimate without observations.
    pub fn new() -> CallFactors {
        CallFactors::default()
    }

    /// Records that the upstream started a run.
    pub fn record_run_start(&mut self, now: Timestamp, class: &ClassName) {
        self.advance(now);
        if let Some(i) = self.place_of_runs(class) {
            self.runs[i].in_flight += 1;
        }
    }

    /// Records that a run ended.
    pub fn record_run_end(&mut self, now: Timestamp, class: &ClassName) {
        self.advance(now);
        let runs = self.runs.iter_mut().find(|runs| runs.class == *class && runs.in_flight > 0);
        if let Some(runs) = runs {
            runs.in_flight -= 1;
            runs.ended += 1.0;
        }
    }

    /// Records a call that arrived from the host of the upstream.
    pub fn record_call(&mut self, now: Timestamp, class: &ClassName) {
        self.advance(now);
        if let Some(calls) = self.calls.iter_mut().find(|calls| calls.class == *class) {
            calls.window += 1.0;
            return;
        }
        let products = vec![0.0; self.runs.len()];
        let calls = Calls { class: class.clone(), window: 1.0, products, square: 0.0 };
        if self.calls.len() < MAX_CLASSES {
            self.calls.push(calls);
        } else if let Some(rarest) =
            self.calls.iter_mut().min_by(|a, b| a.square.total_cmp(&b.square))
        {
            *rarest = calls;
        }
    }

    /// Returns the calls that one run of a class makes on average, at least; one of each kind
    /// while there are too few observations to tell the classes apart.
    pub fn for_class(&self, class: &ClassName) -> Vec<(&ClassName, f64)> {
        if self.has_estimates {
            let factors = self.factors.get(class).map_or(&[][..], Vec::as_slice);
            return factors.iter().map(|(call, factor)| (call, *factor)).collect();
        }
        self.calls.iter().map(|calls| (&calls.class, 1.0)).collect()
    }

    /// Returns the place of a class of runs, adding it; if there are too many, that of the
    /// rarest class without a run is taken over. `None` if all are in flight.
    fn place_of_runs(&mut self, class: &ClassName) -> Option<usize> {
        if let Some(i) = self.runs.iter().position(|runs| runs.class == *class) {
            return Some(i);
        }
        let runs = Runs::new(class);
        if self.runs.len() < MAX_CLASSES {
            self.runs.push(runs);
            self.squares.iter_mut().for_each(|row| row.push(0.0));
            self.squares.push(vec![0.0; self.runs.len()]);
            self.calls.iter_mut().for_each(|calls| calls.products.push(0.0));
            return Some(self.runs.len() - 1);
        }
        let idle = self.runs.iter().enumerate().filter(|(_, runs)| runs.in_flight == 0);
        let (i, _) = idle.min_by(|(_, a), (_, b)| a.seconds.total_cmp(&b.seconds))?;
        self.runs[i] = runs;
        self.squares[i].fill(0.0);
        self.squares.iter_mut().for_each(|row| row[i] = 0.0);
        self.calls.iter_mut().for_each(|calls| calls.products[i] = 0.0);
        Some(i)
    }

    /// Tells whether there are observations enough to tell the classes apart.
    pub fn has_estimates(&self) -> bool {
        self.has_estimates
    }

    /// Returns the calls of one kind that a run of a class makes, as [`CallFactors::for_class`] does.
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
            runs.window += f64::from(runs.in_flight) * passed;
        }
        if now >= self.window_ends {
            self.window_ends = now + WINDOW;
            self.end_window();
        }
    }

    fn end_window(&mut self) {
        if self.runs.iter().all(|runs| runs.window == 0.0) {
            self.calls.iter_mut().for_each(|calls| calls.window = 0.0);
            return;
        }
        let times: Vec<f64> = self.runs.iter().map(|runs| runs.window).collect();
        for (row, time) in self.squares.iter_mut().zip(&times) {
            row.iter_mut().zip(&times).for_each(|(sum, other)| *sum = *sum * KEPT + time * other);
        }
        for calls in &mut self.calls {
            let made = std::mem::take(&mut calls.window);
            for (sum, time) in calls.products.iter_mut().zip(&times) {
                *sum = *sum * KEPT + time * made;
            }
            calls.square = calls.square * KEPT + made * made;
        }
        for runs in &mut self.runs {
            runs.seconds = runs.seconds * KEPT + std::mem::take(&mut runs.window);
            runs.ended *= KEPT;
        }
        self.windows = self.windows * KEPT + 1.0;
        self.solve();
    }

    fn solve(&mut self) {
        self.factors.clear();
        let used = self.runs.iter().filter(|runs| runs.seconds > 0.0).count();
        let freedom = self.windows - used as f64;
        let inverse = inverted(&self.squares).filter(|_| freedom >= MIN_WINDOWS);
        self.has_estimates = inverse.is_some();
        let Some(inverse) = inverse else {
            return;
        };
        for calls in &self.calls {
            let fit: Vec<f64> = inverse.iter().map(|row| dot(row, &calls.products)).collect();
            let error = (calls.square - dot(&fit, &calls.products)).max(0.0) / freedom;
            for (i, runs) in self.runs.iter().enumerate() {
                let lower = fit[i] - ERRORS * (error * inverse[i][i].max(0.0)).sqrt();
                let factor = lower * runs.seconds / runs.ended.max(1.0);
                if factor > 0.0 {
                    let of_class = self.factors.entry(runs.class.clone()).or_default();
                    of_class.push((calls.class.clone(), factor));
                }
            }
        }
    }
}

fn dot(a: &[f64], b: &[f64]) -> f64 {
    a.iter().zip(b).map(|(a, b)| a * b).sum()
}

/// Inverts a symmetric matrix; a class that never ran gets a row of zeros. `None` if two
/// classes cannot be told apart.
fn inverted(matrix: &[Vec<f64>]) -> Option<Vec<Vec<f64>>> {
    let size = matrix.len();
    let used: Vec<usize> = (0..size).filter(|i| matrix[*i][*i] > 0.0).collect();
    let mut rows: Vec<Vec<f64>> = used
        .iter()
        .enumerate()
        .map(|(row, i)| {
            let mut line: Vec<f64> = used.iter().map(|k| matrix[*i][*k]).collect();
            line.extend((0..used.len()).map(|k| if k == row { 1.0 } else { 0.0 }));
            line
        })
        .collect();
    for pivot in 0..used.len() {
        let best = (pivot..used.len())
            .max_by(|a, b| rows[*a][pivot].abs().total_cmp(&rows[*b][pivot].abs()))?;
        rows.swap(pivot, best);
        let scale = rows[pivot][pivot];
        if scale.abs() < 1e-9 {
            return None;
        }
        rows[pivot].iter_mut().for_each(|value| *value /= scale);
        let line = rows[pivot].clone();
        for (_, row) in rows.iter_mut().enumerate().filter(|(i, _)| *i != pivot) {
            let factor = row[pivot];
            row.iter_mut().zip(&line).for_each(|(value, above)| *value -= factor * above);
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
