//! What was sent, answered and run.

use std::fmt::Write as _;
use std::fs;
use std::path::Path;
use std::sync::Mutex;
use std::time::Instant;

/// Lines with the time since the start, written to a file at the end.
pub struct Record {
    start: Instant,
    lines: Mutex<String>,
}

impl Record {
    pub fn new() -> Record {
        Record { start: Instant::now(), lines: Mutex::default() }
    }

    pub fn add(&self, text: &str) {
        let at = self.start.elapsed().as_secs_f64();
        let mut lines = self.lines.lock().unwrap();
        let _ = writeln!(lines, "{at:8.3} {text}");
    }

    /// Returns the time of an event in seconds since the start.
    pub fn seconds(&self, at: Instant) -> f64 {
        at.saturating_duration_since(self.start).as_secs_f64()
    }

    pub fn save(&self, folder: &Path) {
        fs::write(folder.join("record.txt"), &*self.lines.lock().unwrap())
            .expect("write the record");
    }
}
