//! Adaptive concurrency limit of one upstream.
//!
//! The limit follows the gradient between the lowest service time that the upstream has shown
//! for a class and its current one. Time spent waiting for downstream calls does not count as
//! service time, because a slow downstream service must not lower the limits of its callers.

use std::time::Duration;

use crate::collections::FastMap;
use crate::ewma::Ewma;
use crate::ids::ClassName;
use crate::time::Timestamp;

/// Configuration of an [`AdaptiveLimit`].
#[derive(Clone, Debug)]
pub struct LimitConfig {
    /// Number of slots that the upstream announced; the limit never exceeds it.
    pub slots: u32,
    /// Ratio of the current service time to the lowest one up to which the limit is not lowered.
    pub tolerance: f64,
    /// Share of the slots, from 0 to 1, that the limit allows before the first adjustment.
    pub initial_share: f64,
    /// Duration after which the next sample ends a window and adjusts the limit.
    pub window: Duration,
    /// Maximum number of samples in a window; reaching it ends the window early.
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

/// Measurement of one finished request.
#[derive(Clone, Debug)]
pub struct LimitSample<'a> {
    /// Class of the request; service times are compared within a class.
    pub class: &'a ClassName,
    /// Service time without the time spent waiting for downstream calls.
    pub own_time: Duration,
    /// Whether the response was complete and not a server error.
    pub succeeded: bool,
    /// Whether the upstream refused the request because it is overloaded.
    pub overloaded: bool,
}

/// Share of failed requests above which a window leaves the limit unchanged.
const MAX_FAILURE_SHARE: f64 = 0.1;
/// Factor applied to the limit after a window in which the upstream refused a request because
/// it is overloaded.
const OVERLOAD_BACKOFF: f64 = 0.85;
/// Minimum gradient; bounds how far long service times lower the limit in one adjustment.
const MIN_GRADIENT: f64 = 0.5;
/// Weight of a window's target limit in the new limit; the rest is the previous limit.
const SMOOTHING: f64 = 0.3;
/// Share of the distance to a higher service time by which a baseline rises per window of 64
/// samples, so that it follows a lasting increase.
const BASELINE_RISE_PER_WINDOW: f64 = 0.02;
/// Maximum number of classes with a baseline; other classes do not lower the limit.
const MAX_BASELINES: usize = 256;

/// Samples since the last adjustment of the limit.
#[derive(Clone, Debug, Default)]
struct Window {
    started: Option<Timestamp>,
    /// Moving average of service times relative to the baselines of their classes.
    service_time_ratios: Ewma,
    samples: u32,
    failures: u32,
    overloads: u32,
    /// Whether the limit was reached in this window; if not, it is not raised.
    limit_reached: bool,
}

/// Adaptive limit for the requests in flight at one upstream.
#[derive(Clone, Debug)]
pub struct AdaptiveLimit {
    cfg: LimitConfig,
    limit: f64,
    /// Slowly rising minimum of the service time of each class, in microseconds.
    baselines: FastMap<ClassName, f64>,
    window: Window,
}

impl AdaptiveLimit {
    /// Creates the limit of an upstream that has run no request yet.
    pub fn new(cfg: LimitConfig) -> AdaptiveLimit {
        let limit = (f64::from(cfg.slots) * cfg.initial_share).max(1.0);
        AdaptiveLimit { cfg, limit, baselines: FastMap::default(), window: Window::default() }
    }

    /// Returns the number of requests that may be in flight, at least 1.
    pub fn get(&self) -> u32 {
        (self.limit as u32).clamp(1, self.cfg.slots)
    }

    /// Returns the number of slots that the upstream announced, at least 1.
    pub fn slots(&self) -> u32 {
        self.cfg.slots
    }

    /// Sets the number of announced slots; a limit above it is lowered.
    pub fn set_slots(&mut self, slots: u32) {
        self.cfg.slots = slots.max(1);
        self.limit = self.limit.min(f64::from(self.cfg.slots));
    }

    /// Records one finished request and adjusts the limit at the end of a window.
    ///
    /// `limit_reached` is whether the limit was reached when the request was dispatched.
    pub fn observe(&mut self, now: Timestamp, sample: &LimitSample<'_>, limit_reached: bool) {
        self.record(now, sample, limit_reached);
        let started = self.window.started.unwrap_or(now);
        let samples_done = self.window.samples >= self.cfg.max_window_samples.min(self.get() * 2);
        let time_done = now.since(started) >= self.cfg.window;
        if samples_done || time_done {
            self.end_window();
        }
    }

    fn record(&mut self, now: Timestamp, sample: &LimitSample<'_>, limit_reached: bool) {
        self.window.started.get_or_insert(now);
        self.window.samples += 1;
        self.window.limit_reached |= limit_reached;
        self.window.overloads += u32::from(sample.overloaded);
        if !sample.succeeded {
            // A failure is no sample of the service time: a crashed upstream fails at once.
            self.window.failures += 1;
            return;
        }
        let ratio = self.service_time_ratio(sample);
        self.window.service_time_ratios.add(ratio, 0.1);
    }

    /// Updates the baseline of the sample's class and returns the service time relative to it.
    fn service_time_ratio(&mut self, sample: &LimitSample<'_>) -> f64 {
        let own_us = (sample.own_time.as_micros() as f64).max(1.0);
        if self.baselines.len() >= MAX_BASELINES && !self.baselines.contains_key(sample.class) {
            return 1.0;
        }
        let baseline = self.baselines.entry(sample.class.clone()).or_insert(own_us);
        // The baseline follows a decrease within a few samples and an increase slowly.
        let weight = if own_us < *baseline { 0.1 } else { BASELINE_RISE_PER_WINDOW / 64.0 };
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
        if failure_share > MAX_FAILURE_SHARE {
            return;
        }
        let Some(ratio) = window.service_time_ratios.get() else {
            return;
        };
        let gradient = (self.cfg.tolerance / ratio).clamp(MIN_GRADIENT, 1.0);
        let headroom = if window.limit_reached { self.limit.sqrt().max(1.0) } else { 0.0 };
        let target = self.limit * gradient + headroom;
        let next = self.limit + SMOOTHING * (target - self.limit);
        self.limit = next.clamp(1.0, f64::from(self.cfg.slots));
    }
}
