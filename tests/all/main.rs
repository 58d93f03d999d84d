//! End-to-end tests that run the real programs as processes on loopback.
//!
//! Each test starts its own mesh on its own loopback addresses, so tests can run in parallel.
//! Waits end as soon as their condition holds. Their limits are far above the expected time and
//! say nothing about performance.

mod bad_input;
mod configuration;
mod failures;
mod path;
mod signals;
mod stops;
mod support;
