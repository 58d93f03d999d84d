//! The node: the root of its supervisor tree, with signal handling and shutdown.

use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

use signal_hook::consts::{SIGHUP, SIGINT, SIGTERM};
use signal_hook::iterator::Signals;
use snipehollow_config::settings::NodeSettings;

use crate::adapters::Adapters;
use crate::admin::AdminServer;
use crate::control::ControlThread;
use crate::shared::Shared;
use crate::store_watch::StoreWatch;
use crate::supervisor::Supervisor;
use crate::traffic::TrafficThreads;
use crate::{NodeError, clock, logging};

/// Interval at which a draining node checks for requests in progress.
const DRAIN_POLL_INTERVAL: Duration = Duration::from_millis(50);

/// Time for writing the last responses, to calls that have not ended when the drain is over.
const LAST_RESPONSES_TIME: Duration = Duration::from_millis(100);

/// A node that has been set up but does not run yet; see [`Node::run`].
pub struct Node {
    shared: Arc<Shared>,
}

impl Node {
    /// Creates a node that reaches its callers, upstream and store through these adapters.
    ///
    /// Starts no threads. Fails if the system provides no random bytes.
    pub fn new(settings: NodeSettings, adapters: Adapters) -> Result<Node, NodeError> {
        Ok(Node { shared: Arc::new(Shared::new(settings, adapters)?) })
    }

    /// Runs until SIGTERM or SIGINT, then drains and returns when the requests in progress have
    /// finished or the drain time limit has passed.
    ///
    /// # Errors
    ///
    /// Returns an error if an address cannot be bound, a thread cannot be started, or a child keeps
    /// failing.
    pub fn run(self) -> Result<(), NodeError> {
        let settings = &self.shared.settings;
        log::info!(
            host = settings.host.as_str(),
            zone = settings.zone.as_str(),
            unix = clock::unix_seconds();
            "node starting"
        );
        self.watch_signals()?;
        let mut supervisor = Supervisor::new(Arc::clone(&self.shared));
        supervisor.start(ControlThread)?;
        supervisor.start(TrafficThreads)?;
        supervisor.start(AdminServer)?;
        if self.shared.adapters.store.is_some() {
            supervisor.start(StoreWatch)?;
        }
        supervisor.wait()?;
        log::info!("node stopped");
        logging::flush();
        Ok(())
    }

    fn watch_signals(&self) -> Result<(), NodeError> {
        let mut signals = Signals::new([SIGTERM, SIGINT, SIGHUP]).map_err(NodeError::Signals)?;
        let shared = Arc::clone(&self.shared);
        let body = move || {
            for signal in signals.forever() {
                if signal == SIGHUP {
                    reload(&shared);
                } else {
                    shut_down(&shared);
                    return;
                }
            }
        };
        thread::Builder::new()
            .name("signals".into())
            .spawn(body)
            .map_err(|cause| NodeError::Thread { name: "signals", cause })?;
        Ok(())
    }
}

/// Reloads the settings file.
///
/// Only the service of the local upstream is applied. Other changes take effect at the next start.
fn reload(shared: &Shared) {
    let Some(file) = &shared.settings.file else {
        log::warn!("settings not reloaded: they were not read from a file");
        return;
    };
    match NodeSettings::load(file) {
        Ok(settings) => {
            let changed = settings != shared.settings;
            log::info!(changed; "settings reloaded");
            shared.set_configured_service(settings.service.clone());
        }
        Err(err) => log::error!("settings not reloaded, keeping the previous ones: {err}"),
    }
}

/// Drains the node, waits for requests in progress, and stops all threads.
///
/// During the leave notice the node still accepts requests of callers and sends them to the
/// upstreams of other hosts, because callers keep sending until the platform has noticed that this
/// node is not ready. No call may wait for a slot until the node ends; see [`Shared::calls_end`].
fn shut_down(shared: &Shared) {
    shared.set_calls_end();
    shared.drain();
    let started = Instant::now();
    while started.elapsed() < shared.settings.drain_timeout {
        if started.elapsed() >= shared.settings.leave_notice {
            shared.refuse_callers();
            if in_progress(shared) == 0 {
                break;
            }
        }
        thread::sleep(DRAIN_POLL_INTERVAL);
    }
    let remaining = in_progress(shared);
    if remaining > 0 {
        log::warn!(requests = remaining; "drain timeout reached with requests in progress");
        shared.end_calls();
        thread::sleep(LAST_RESPONSES_TIME);
    }
    shared.stop();
}

fn in_progress(shared: &Shared) -> usize {
    let at_listeners = shared.caller_requests.get() + shared.peer_tries.get();
    at_listeners as usize + shared.host().in_progress()
}
