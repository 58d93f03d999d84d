//! Supervisor: runs children in threads of their own and restarts those that fail.

use std::panic::{AssertUnwindSafe, catch_unwind};
use std::sync::Arc;
use std::sync::mpsc::{Receiver, RecvTimeoutError, Sender, channel};
use std::thread;
use std::time::{Duration, Instant};

use crate::NodeError;
use crate::shared::Shared;

/// Number of consecutive failures at which a child is no longer restarted and the process ends.
const MAX_FAILURES: u32 = 5;
/// Run time of a child after which its earlier failures no longer count.
const FAILURE_WINDOW: Duration = Duration::from_secs(60);
/// Interval at which the supervisor checks whether the process is stopping, and how long it then
/// waits for the next child to end.
const EXIT_POLL_INTERVAL: Duration = Duration::from_millis(300);
/// Delay of the restart after the first failure; doubled with each further failure.
const INITIAL_BACKOFF: Duration = Duration::from_millis(100);

/// A part of the node that runs in a thread of its own until shutdown.
pub(crate) trait Child: Send + Sync {
    /// Returns the name of the thread, which metrics and logs also use.
    fn name(&self) -> &'static str;

    /// Runs until shutdown. The child is restarted if this panics or returns an error, except for
    /// [`NodeError::Listen`], which ends the process.
    fn run(&self, shared: &Arc<Shared>) -> Result<(), NodeError>;
}

/// Message from a child's thread to the supervisor when the child has ended.
struct Exit {
    name: &'static str,
    result: Result<(), NodeError>,
}

/// Runs children until all of them have ended.
pub(crate) struct Supervisor {
    shared: Arc<Shared>,
    tx: Sender<Exit>,
    rx: Receiver<Exit>,
    running: usize,
}

impl Supervisor {
    pub(crate) fn new(shared: Arc<Shared>) -> Supervisor {
        let (tx, rx) = channel();
        Supervisor { shared, tx, rx, running: 0 }
    }

    /// Starts a child in a new thread.
    pub(crate) fn start(&mut self, child: impl Child + 'static) -> Result<(), NodeError> {
        let name = child.name();
        let shared = Arc::clone(&self.shared);
        let tx = self.tx.clone();
        let body = move || {
            let result = run_with_restarts(&child, &shared);
            // The receiver exists as long as any child runs.
            let _ = tx.send(Exit { name, result });
        };
        thread::Builder::new()
            .name(name.into())
            .spawn(body)
            .map_err(|cause| NodeError::Thread { name, cause })?;
        self.running += 1;
        Ok(())
    }

    /// Waits until every child has ended.
    ///
    /// The first error that a child ends with stops the other children and is returned.
    pub(crate) fn wait(mut self) -> Result<(), NodeError> {
        let mut result = Ok(());
        while self.running > 0 {
            let exit = match self.rx.recv_timeout(EXIT_POLL_INTERVAL) {
                Ok(exit) => exit,
                Err(RecvTimeoutError::Timeout) if !self.shared.is_stopping() => continue,
                // At shutdown, do not wait for a child that is blocked on an external system; it
                // ends with the process.
                Err(_) => break,
            };
            self.running -= 1;
            log::debug!(child = exit.name; "child ended");
            if let Err(err) = exit.result {
                log::error!(child = exit.name; "child failed permanently: {err}");
                self.shared.stop();
                result = result.and(Err(err));
            }
        }
        result
    }
}

fn run_with_restarts(child: &impl Child, shared: &Arc<Shared>) -> Result<(), NodeError> {
    let mut failures = 0;
    loop {
        let started = Instant::now();
        let cause = match catch_unwind(AssertUnwindSafe(|| child.run(shared))) {
            Ok(Ok(())) => return Ok(()),
            Ok(Err(err @ NodeError::Listen { .. })) => return Err(err),
            Ok(Err(err)) => err.to_string(),
            Err(panic) => panic_message(&*panic),
        };
        if shared.is_stopping() {
            return Ok(());
        }
        failures = if started.elapsed() > FAILURE_WINDOW { 1 } else { failures + 1 };
        if failures >= MAX_FAILURES {
            return Err(NodeError::KeepsFailing { name: child.name(), failures, cause });
        }
        log::error!(
            child = child.name(), failures;
            "child failed, restarting after backoff: {cause}"
        );
        thread::sleep(INITIAL_BACKOFF * 2u32.pow(failures - 1));
    }
}

fn panic_message(panic: &(dyn std::any::Any + Send)) -> String {
    let text = panic.downcast_ref::<&str>().map(|text| (*text).to_owned());
    text.or_else(|| panic.downcast_ref::<String>().cloned()).unwrap_or_else(|| "panic".into())
}
