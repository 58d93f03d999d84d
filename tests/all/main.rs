//! End-to-end tests with real processes on loopback.
//!
//! Each test starts a mesh of its own on addresses of its own. Waits end when a condition
//! holds; their limits are far above what is expected and are no measurement.

mod bad_input;
mod configuration;
mod failures;
mod path;
mod stops;
mod support;
