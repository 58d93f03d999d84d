//! Bounded, rate-limited queue of log lines with its own writer thread.

use std::io::Write;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::mpsc::{Receiver, SyncSender, TrySendError, sync_channel};
use std::sync::{Arc, Mutex, PoisonError};
use std::thread;
use std::time::{Duration, Instant};

/// Maximum number of lines that wait for the writer, about a megabyte in total.
const CAPACITY: usize = 4_096;
/// Maximum time that a flush waits for the writer.
const FLUSH_TIMEOUT: Duration = Duration::from_millis(200);

enum Message {
    Line(Vec<u8>),
    /// Requests a signal on the channel once all lines queued before it are written.
    Flush(SyncSender<()>),
}

/// Number of lines admitted within the current second.
#[derive(Debug)]
struct RateWindow {
    started: Instant,
    admitted: u32,
}

/// Bounded queue of log lines that a dedicated thread writes out.
#[derive(Debug)]
pub(super) struct LineQueue {
    tx: SyncSender<Message>,
    per_second: u32,
    /// First the window of lines below level warn, then that of warnings and errors.
    windows: [Mutex<RateWindow>; 2],
    dropped: Arc<AtomicU64>,
}

impl LineQueue {
    /// Starts the writer thread; at most `per_second` lines of each kind are admitted to the queue.
    pub(super) fn start(
        out: impl Write + Send + 'static,
        per_second: u32,
    ) -> std::io::Result<LineQueue> {
        let (tx, rx) = sync_channel(CAPACITY);
        let dropped = Arc::new(AtomicU64::new(0));
        let counter = Arc::clone(&dropped);
        thread::Builder::new().name("log".into()).spawn(move || write_lines(out, &rx, &counter))?;
        let window = || Mutex::new(RateWindow { started: Instant::now(), admitted: 0 });
        Ok(LineQueue { tx, per_second, windows: [window(), window()], dropped })
    }

    /// Returns whether the rate limit allows another line in this second, and counts the line as
    /// admitted or dropped. Urgent lines (warnings and errors) have a limit of their own.
    pub(super) fn try_admit(&self, is_urgent: bool) -> bool {
        // A panic cannot leave the window inconsistent, so a poisoned lock can be used.
        let window = &self.windows[usize::from(is_urgent)];
        let mut window = window.lock().unwrap_or_else(PoisonError::into_inner);
        if window.started.elapsed() >= Duration::from_secs(1) {
            *window = RateWindow { started: Instant::now(), admitted: 0 };
        }
        if window.admitted >= self.per_second {
            self.dropped.fetch_add(1, Ordering::Relaxed);
            return false;
        }
        window.admitted += 1;
        true
    }

    /// Queues a line, or drops it and counts the drop if the queue is full.
    pub(super) fn push(&self, line: Vec<u8>) {
        if let Err(TrySendError::Full(_) | TrySendError::Disconnected(_)) =
            self.tx.try_send(Message::Line(line))
        {
            self.dropped.fetch_add(1, Ordering::Relaxed);
        }
    }

    /// Waits until all lines queued so far are written, at most for [`FLUSH_TIMEOUT`].
    pub(super) fn flush(&self) {
        let (tx, rx) = sync_channel(1);
        if self.tx.try_send(Message::Flush(tx)).is_ok() {
            // A blocked writer must not delay the shutdown of the process.
            let _ = rx.recv_timeout(FLUSH_TIMEOUT);
        }
    }

    /// Returns the number of lines dropped since the queue was created.
    pub(super) fn dropped(&self) -> u64 {
        self.dropped.load(Ordering::Relaxed)
    }
}

fn write_lines(mut out: impl Write, rx: &Receiver<Message>, dropped: &AtomicU64) {
    let mut reported = 0;
    while let Ok(message) = rx.recv() {
        match message {
            Message::Line(line) => {
                // An error of standard output cannot be reported anywhere.
                let _ = out.write_all(&line);
            }
            Message::Flush(done) => {
                let _ = out.flush();
                let _ = done.try_send(());
            }
        }
        let total = dropped.load(Ordering::Relaxed);
        if total > reported {
            let newly_dropped = total - reported;
            let _ = writeln!(
                out,
                "{{\"level\":\"WARN\",\"message\":\"log lines were dropped\",\"kvs\":{{\"lost\":{newly_dropped},\"total\":{total}}}}}"
            );
            reported = total;
        }
    }
}
