//! Measurements of the whole path with real processes on loopback.
//!
//! Each program under `src/bin` prints one table; docs/MEASUREMENTS.md holds the tables with
//! the command and seed that made them.

pub mod capacity;
pub mod latency;
pub mod sheets;
