//! Callers that keep their own pace: arrivals do not wait for answers.

mod client;
mod config;
mod driver;
mod report;

pub use client::{CallResult, CallerClient};
pub use config::{LoadConfig, Phase, RequestKind};
pub use driver::run_load;
pub use report::{INTERVAL, IntervalReport, KindReport, LoadReport};
