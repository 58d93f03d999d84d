//! Structured logs: one JSON object per line on standard output.
//!
//! A dedicated thread writes the lines, so that a slow reader of standard output never blocks the
//! handling of a request. The rate is limited: lines beyond it are dropped, and their count is
//! logged and exported as a metric.

pub(crate) mod decisions;
mod queue;
#[cfg(test)]
mod tests;

use std::sync::OnceLock;

use logforth::layout::JsonLayout;
use logforth::record::LevelFilter;
use logforth::{Append, Diagnostic, Layout, record::Record};

use crate::NodeError;
use queue::LineQueue;

static QUEUE: OnceLock<LineQueue> = OnceLock::new();

/// Starts logging at `level`: `error`, `warn`, `info`, `debug` or `trace`.
///
/// `lines_per_second` limits warnings and errors together, and separately all lines of lower
/// severity. Returns an error if the level is unknown, logging was already started or the writer
/// thread cannot be created.
pub fn start_logging(level: &str, lines_per_second: u32) -> Result<(), NodeError> {
    let filter = level_filter(level)?;
    let queue = LineQueue::start(std::io::stdout(), lines_per_second)
        .map_err(|cause| NodeError::Thread { name: "log", cause })?;
    QUEUE.set(queue).map_err(|_| NodeError::Logging("logging was already started".into()))?;
    logforth::starter_log::builder()
        .dispatch(|d| d.filter(filter).append(RateLimitedStdout { layout: JsonLayout::default() }))
        .apply();
    Ok(())
}

/// Returns the number of lines dropped since the process started.
pub(crate) fn dropped_lines() -> u64 {
    QUEUE.get().map_or(0, LineQueue::dropped)
}

/// Waits until all lines logged so far are written, but not longer than a fixed timeout.
pub(crate) fn flush() {
    if let Some(queue) = QUEUE.get() {
        queue.flush();
    }
}

#[derive(Debug)]
struct RateLimitedStdout {
    layout: JsonLayout,
}

impl Append for RateLimitedStdout {
    fn append(
        &self,
        record: &Record,
        diags: &[Box<dyn Diagnostic>],
    ) -> Result<(), logforth::Error> {
        let Some(queue) = QUEUE.get() else {
            return Ok(());
        };
        let is_urgent = record.level() >= logforth::record::Level::Warn;
        if !queue.try_admit(is_urgent) {
            return Ok(());
        }
        let mut line = self.layout.format(record, diags)?;
        line.push(b'\n');
        queue.push(line);
        Ok(())
    }

    fn flush(&self) -> Result<(), logforth::Error> {
        flush();
        Ok(())
    }
}

fn level_filter(level: &str) -> Result<LevelFilter, NodeError> {
    use logforth::record::Level;
    let level = match level {
        "error" => Level::Error,
        "warn" => Level::Warn,
        "info" => Level::Info,
        "debug" => Level::Debug,
        "trace" => Level::Trace,
        other => {
            return Err(NodeError::Logging(format!(
                "unknown log level {other}, expected error, warn, info, debug or trace"
            )));
        }
    };
    Ok(LevelFilter::MoreSevereEqual(level))
}
