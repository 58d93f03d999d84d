//! Measurements of the whole call path with real processes on loopback.
//!
//! Each program under `src/bin` prints one table. docs/MEASUREMENTS.md holds the tables together
//! with the command and seed that produced them.

pub mod capacity;
pub mod latency;
pub mod sheets;
