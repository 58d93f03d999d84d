//! Open-loop load generator: requests are sent at a given rate, whether or not earlier ones have
//! completed, so that an overloaded system does not slow its own load down.

mod client;
mod config;
mod driver;
mod report;

pub use client::{CallResult, CallerClient};
pub use config::{LoadConfig, Phase, RequestKind};
pub use driver::run_load;
pub use report::{INTERVAL, IntervalReport, KindReport, LoadReport};
