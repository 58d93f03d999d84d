//! The root of the supervisor tree.

use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

use signal_hook::consts::{SIGHUP, SIGINT, SIGTERM};
use signal_hook::iterator::Signals;
use snipehollow_config::settings::NodeSettings;

use crate::admin::AdminFace;
use crate::control::ControlThread;
use crate::edges::Edges;
use crate::shared::Shared;
use crate::store_watch::StoreWatch;
use crate::supervisor::Supervisor;
use crate::traffic::TrafficThreads;
use crate::{NodeError, clock, logging};

/// Time between two looks at the requests in progress while draining.
const DRAIN_POLL: Duration = Duration::from_millis(50);

/// One node.
pub struct Node {
    shared: Arc<Shared>,
}

impl Node {
    /// Creates a node that meets callers, upstream and store at these edges; nothing runs
    /// yet.
    pub fn new(settings: NodeSettings, edges: Edges) -> Result<Node, NodeError> {
        Ok(Node { shared: Arc::new(Shared::new(settings, edges)?) })
    }

    /// Runs until SIGTERM or SIGINT, and then until the requests in progress are finished.
    ///
    /// Errors: an address is taken, or a child keeps failing.
    pub fn run(self) -> Result<(), NodeError> {
        let settings = &self.shared.settings;
        log::info!(
            host = settings.host.as_str(),
            zone = settings.zone.as_str(),
            unix = clock::unix_seconds();
            "node starts"
        );
        self.watch_signals()?;
        let mut supervisor = Supervisor::new(Arc::clone(&self.shared));
        supervisor.start(ControlThread)?;
        supervisor.start(TrafficThreads)?;
        supervisor.start(AdminFace)?;
        if self.shared.edges.store.is_some() {
            supervisor.start(StoreWatch)?;
        }
        supervisor.wait()?;
        log::info!("node ends");
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

/// Reads the settings file again.
///
/// What a running process cannot change keeps its value until the next start.
fn reload(shared: &Shared) {
    let Some(file) = &shared.settings.file else {
        log::warn!("settings were not read from a file and are not reloaded");
        return;
    };
    match NodeSettings::load(file) {
        Ok(settings) => {
            let changed = settings != shared.settings;
            log::info!(changed; "settings are reloaded");
            shared.set_configured_service(settings.service.clone());
        }
        Err(err) => log::error!("settings are not reloaded, the old ones stay: {err}"),
    }
}

/// Drains, waits for the requests in progress, tells the members, and stops.
///
/// Callers are served for the leave notice, by other hosts' upstreams: they stop coming once
/// the platform has seen that this node is not ready.
fn shut_down(shared: &Shared) {
    shared.drain();
    let started = Instant::now();
    while started.elapsed() < shared.settings.drain_timeout {
        if started.elapsed() >= shared.settings.leave_notice {
            shared.refuse_callers();
            if in_progress(shared) == 0 {
                break;
            }
        }
        thread::sleep(DRAIN_POLL);
    }
    let left_over = in_progress(shared);
    if left_over > 0 {
        log::warn!(requests = left_over; "drain time is over with requests in progress");
    }
    shared.stop();
}

fn in_progress(shared: &Shared) -> usize {
    shared.caller_requests() as usize + shared.host().in_progress()
}
