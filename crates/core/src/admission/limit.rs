//! Adaptive limit of the requests in flight at one upstream.
//!
//! The limit follows the gradient between the upstream's own service time now and the
//! lowest it has shown for the same class. Time in which the upstream only waits for its own
//! deeper calls is left out: a slow service further down must not close the gates above it.

use std::time::Duration;

use crate::collections::FastMap;
use crate::ewma::Ewma;
use crate::ids::ClassName;
use crate::time::Timestamp;

/// Bounds and pace of an [`AdaptiveLimit`].
#[derive(Clone, Debug)]
pub struct LimitConfig {
    /// Slots the upstream announced; the limit never exceeds them.
    pub slots: u32,
    /// Growth of service time that is still taken as normal; a factor.
    pub tolerance: f64,
    /// Share of the slots that a cold upstream starts with.
    pub initial_share: f64,
    /// Longest time between two adjustments.
    pub window: Duration,
    /// Samples that end a window early.
    pub max_window_samples: u32,
}

impl LimitConfig {
    /// Creates the default configuration for an upstream with this many slots.
    pub fn new(slots: u32) -> LimitConfig {
        LimitConfig {
            slots: slots.max(1),
            tolerance: 2.0,
            initial_share: 0.25,
            window: Duration::from_millis(250),
            max_window_samples: 64,
        }
    }
}

/// What one finished request tells about the upstream.
#[derive(Clone, Debug)]
pub struct LimitSample<'a> {
    /// Class of the request.
    pub class: &'a ClassName,
    /// Time the upstream worked on it itself, without its own deeper calls.
    pub own_time: Duration,
    /// Whether the answer was complete and not an error.
    pub succeeded: bool,
    /// Whether the upstream refused because it is overloaded.
    pub overloaded: bool,
}

/// Share of failures above which a window does not raise the limit.
const FAILURE_SHARE_HOLD: f64 = 0.1;
/// Factor applied to the limit by a window in which the upstream refused work.
const OVERLOAD_BACKOFF: f64 = 0.85;
/// Smallest factor that one window applies because of service time.
const GRADIENT_FLOOR: f64 = 0.5;
/// Weight of a window's target in the new limit.
const SMOOTHING: f64 = 0.3;
/// Pace at which a class's lowest service time is allowed to rise, per window.
const BASELINE_RISE: f64 = 0.02;
/// Most classes whose baselines are kept.
const MAX_BASELINES: usize = 256;

#[derive(Clone, Debug, Default)]
struct Window {
    started: Option<Timestamp>,
    ratios: Ewma,
    samples: u32,
    failures: u32,
    overloads: u32,
    was_full: bool,
}

/// Adaptive limit of the requests in flight at one upstream.
#[derive(Clone, Debug)]
pub struct AdaptiveLimit {
    cfg: LimitConfig,
    limit: f64,
    baselines: FastMap<ClassName, f64>,
    window: Window,
}

impl AdaptiveLimit {
    /// Creates the limit of a cold upstream.
    pub fn new(cfg: LimitConfig) -> AdaptiveLimit {
        let limit = (f64::from(cfg.slots) * cfg.initial_share).max(1.0);
        AdaptiveLimit { cfg, limit, baselines: FastMap::default(), window: Window::default() }
    }

    /// Returns the number of requests that may be in flight.
    pub fn get(&self) -> u32 {
        (self.limit as u32).clamp(1, self.cfg.slots)
    }

    /// Returns the slots the upstream announced.
    pub fn slots(&self) -> u32 {
        self.cfg.slots
    }

    /// Changes the announced slots.
    pub fn set_slots(&mut self, slots: u32) {
        self.cfg.slots = slots.max(1);
        self.limit = self.limit.min(f64::from(self.cfg.slots));
    }

    /// Takes in one finished request; `full` tells whether the limit was reached while it ran.
    pub fn observe(&mut self, now: Timestamp, sample: &LimitSample<'_>, full: bool) {
        self.record(now, sample, full);
        let started = self.window.started.unwrap_or(now);
        let samples_done = self.window.samples >= self.cfg.max_window_samples.min(self.get() * 2);
        let time_done = now.since(started) >= self.cfg.window;
        if samples_done || time_done {
            self.end_window();
        }
    }

    fn record(&mut self, now: Timestamp, sample: &LimitSample<'_>, full: bool) {
        self.window.started.get_or_insert(now);
        self.window.samples += 1;
        self.window.was_full |= full;
        self.window.overloads += u32::from(sample.overloaded);
        if !sample.succeeded {
            // A failure's time says nothing: a crashed upstream answers at once.
            self.window.failures += 1;
            return;
        }
        let ratio = self.ratio(sample);
        self.window.ratios.add(ratio, 0.1);
    }

    fn ratio(&mut self, sample: &LimitSample<'_>) -> f64 {
        let own_us = (sample.own_time.as_micros() as f64).max(1.0);
        if self.baselines.len() >= MAX_BASELINES && !self.baselines.contains_key(sample.class) {
            return 1.0;
        }
        let baseline = self.baselines.entry(sample.class.clone()).or_insert(own_us);
        // Follows a decrease at once in part, and an increase slowly.
        let weight = if own_us < *baseline { 0.1 } else { BASELINE_RISE / 64.0 };
        *baseline += weight * (own_us - *baseline);
        own_us / *baseline
    }

    fn end_window(&mut self) {
        let window = std::mem::take(&mut self.window);
        let failure_share = f64::from(window.failures) / f64::from(window.samples.max(1));
        if window.overloads > 0 {
            self.limit = (self.limit * OVERLOAD_BACKOFF).max(1.0);
            return;
        }
        if failure_share > FAILURE_SHARE_HOLD {
            return;
        }
        let Some(ratio) = window.ratios.get() else {
            return;
        };
        let gradient = (self.cfg.tolerance / ratio).clamp(GRADIENT_FLOOR, 1.0);
        let headroom = if window.was_full { self.limit.sqrt().max(1.0) } else { 0.0 };
        let target = self.limit * gradient + headroom;
        let next = self.limit + SMOOTHING * (target - self.limit);
        self.limit = next.clamp(1.0, f64::from(self.cfg.slots));
    }
}
