//! Callers that keep their own pace: arrivals do not wait for answers.

mod client;
mod config;
mod driver;
mod report;

pub use client::{CallResult, CallerClient};
pub use config::{Kind, LoadConfig, Phase};
pub use driver::run;
pub use report::{INTERVAL, IntervalReport, KindReport, LoadReport};
