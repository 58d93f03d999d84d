//! Record of what was sent, answered and run.

use std::fs::File;
use std::io::Write;
use std::path::{Path, PathBuf};
use std::sync::{Arc, Mutex};
use std::time::{Duration, SystemTime, UNIX_EPOCH};

/// Log with the time since the start of the case, in seconds. Several processes may write to it.
#[derive(Clone)]
pub struct Record {
    path: PathBuf,
    /// Start of the case as Unix time.
    start: Duration,
    file: Arc<Mutex<File>>,
}

impl Record {
    pub fn create(path: &Path) -> std::io::Result<Record> {
        File::create(path)?;
        Record::attach(path, unix_time())
    }

    /// Continues the record of another process.
    pub fn attach(path: &Path, start: Duration) -> std::io::Result<Record> {
        let file = Arc::new(Mutex::new(File::options().append(true).open(path)?));
        Ok(Record { path: path.into(), start, file })
    }

    pub fn path(&self) -> &Path {
        &self.path
    }

    pub fn start(&self) -> Duration {
        self.start
    }

    pub fn line(&self, text: &str) {
        let line = format!("{:8.3} {text}\n", self.now().as_secs_f64());
        let _ = self.file.lock().unwrap().write_all(line.as_bytes());
    }

    /// Returns the time since the start of the case.
    pub fn now(&self) -> Duration {
        unix_time().saturating_sub(self.start)
    }

    /// Waits until a time after the start of the case.
    pub fn wait_until(&self, at: Duration) {
        std::thread::sleep(at.saturating_sub(self.now()));
    }
}

fn unix_time() -> Duration {
    SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default()
}
