//! The root of the supervisor tree.

use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

use signal_hook::consts::{SIGINT, SIGTERM};
use signal_hook::iterator::Signals;
use snipehollow_config::settings::NodeSettings;

use crate::admin::AdminFace;
use crate::control::ControlThread;
use crate::shared::Shared;
use crate::store_watch::StoreWatch;
use crate::supervisor::Supervisor;
use crate::traffic::TrafficThreads;
use crate::upstream_face::UpstreamFace;
use crate::{NodeError, clock};

/// Time between two looks at the requests in progress while draining.
const DRAIN_POLL: Duration = Duration::from_millis(50);
/// Time for which a leaving node stays reachable, so that others learn that it left.
const LEAVE_NOTICE: Duration = Duration::from_millis(1_500);

/// One node.
pub struct Node {
    shared: Arc<Shared>,
}

impl Node {
    /// Creates a node; nothing runs yet.
    pub fn new(settings: NodeSettings) -> Result<Node, NodeError> {
        Ok(Node { shared: Arc::new(Shared::new(settings)?) })
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
        supervisor.start(UpstreamFace)?;
        supervisor.start(AdminFace)?;
        if self.shared.settings.store_url.is_some() {
            supervisor.start(StoreWatch)?;
        }
        supervisor.wait()?;
        log::info!("node ends");
        Ok(())
    }

    fn watch_signals(&self) -> Result<(), NodeError> {
        let mut signals = Signals::new([SIGTERM, SIGINT]).map_err(NodeError::Signals)?;
        let shared = Arc::clone(&self.shared);
        let body = move || {
            if signals.forever().next().is_some() {
                shut_down(&shared);
            }
        };
        thread::Builder::new()
            .name("signals".into())
            .spawn(body)
            .map_err(|cause| NodeError::Thread { name: "signals", cause })?;
        Ok(())
    }
}

/// Drains, waits for the requests in progress, tells the members, and stops.
fn shut_down(shared: &Shared) {
    shared.drain();
    let started = Instant::now();
    while started.elapsed() < shared.settings.drain {
        let in_progress = shared.entering() as usize + shared.host().in_progress();
        if in_progress == 0 && started.elapsed() >= LEAVE_NOTICE {
            break;
        }
        thread::sleep(DRAIN_POLL);
    }
    let left_over = shared.entering() as usize + shared.host().in_progress();
    if left_over > 0 {
        log::warn!(requests = left_over; "drain time is over with requests in progress");
    }
    shared.stop();
}
