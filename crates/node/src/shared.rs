//! What the threads of a node share.

use std::sync::atomic::{AtomicBool, AtomicU32, Ordering};
use std::sync::{Arc, Mutex, MutexGuard};

use arc_swap::ArcSwap;
use snipehollow_config::settings::NodeSettings;
use snipehollow_core::ids::{Incarnation, ServiceName};
use snipehollow_core::invariant;
use snipehollow_core::ticket::{ProcessStartId, TicketKey};

use crate::NodeError;
use crate::clock::{Clock, unix_millis};
use crate::control::ControlState;
use crate::edges::Edges;
use crate::host::HostState;
use crate::metrics::Metrics;
use crate::snapshot::Snapshot;

/// Shared state of one node.
///
/// Two locks: `control` is held by the control thread and, briefly, by the faces of the
/// upstream and the operators; `host` by the traffic threads for one decision at a time.
/// Where both are needed, `control` is taken first.
pub(crate) struct Shared {
    pub(crate) settings: NodeSettings,
    pub(crate) edges: Edges,
    pub(crate) clock: Clock,
    pub(crate) metrics: Metrics,
    pub(crate) snapshot: ArcSwap<Snapshot>,
    /// Service of the local upstream by the settings, which may be reloaded.
    service: ArcSwap<Option<ServiceName>>,
    control: Mutex<ControlState>,
    host: Mutex<HostState>,
    draining: AtomicBool,
    closing: AtomicBool,
    stopping: AtomicBool,
    entering: AtomicU32,
    /// Whether a revision came into force that no member was told of.
    pub(crate) notification_pending: AtomicBool,
    /// Whether a pull of the configuration is under way.
    pub(crate) config_pull_running: AtomicBool,
    pub(crate) stop_notify: tokio::sync::Notify,
}

impl Shared {
    pub(crate) fn new(settings: NodeSettings, edges: Edges) -> Result<Shared, NodeError> {
        if settings.assert_invariants {
            invariant::enable();
        }
        let seed = random_u64()?;
        let control = ControlState::new(&settings, Incarnation(unix_millis()), seed);
        let host = new_host_state(&settings)?;
        let service = ArcSwap::from_pointee(settings.service.clone());
        Ok(Shared {
            service,
            settings,
            edges,
            clock: Clock::new(),
            metrics: Metrics::new(),
            snapshot: ArcSwap::default(),
            control: Mutex::new(control),
            host: Mutex::new(host),
            draining: AtomicBool::new(false),
            closing: AtomicBool::new(false),
            stopping: AtomicBool::new(false),
            entering: AtomicU32::new(0),
            notification_pending: AtomicBool::new(false),
            config_pull_running: AtomicBool::new(false),
            stop_notify: tokio::sync::Notify::new(),
        })
    }

    /// Locks the control state.
    ///
    /// After a panic under the lock the state may be broken, so the panic spreads to every
    /// user and the supervisor ends the process.
    pub(crate) fn control(&self) -> MutexGuard<'_, ControlState> {
        self.control.lock().expect("control state is broken by an earlier panic")
    }

    /// Locks the state of the host's gate and entry.
    pub(crate) fn host(&self) -> MutexGuard<'_, HostState> {
        self.host.lock().expect("host state is broken by an earlier panic")
    }

    pub(crate) fn is_draining(&self) -> bool {
        self.draining.load(Ordering::Acquire)
    }

    /// Changes the service that the settings name for the local upstream.
    pub(crate) fn set_configured_service(&self, service: Option<ServiceName>) {
        self.service.store(Arc::new(service));
    }

    /// Returns the service on this host: the announced one, or else that of the settings.
    pub(crate) fn local_service(&self) -> Option<ServiceName> {
        self.host().service().or_else(|| Option::clone(&self.service.load()))
    }

    /// Tells whether callers' requests are refused because this process is about to end.
    pub(crate) fn is_refusing_callers(&self) -> bool {
        self.closing.load(Ordering::Acquire)
    }

    /// Refuses callers' requests from now on.
    pub(crate) fn refuse_callers(&self) {
        self.closing.store(true, Ordering::Release);
    }

    /// Tells whether this node takes callers' requests: it has a configuration and stays.
    pub(crate) fn is_ready(&self) -> bool {
        self.snapshot.load().config.revision > 0 && !self.is_draining()
    }

    pub(crate) fn is_stopping(&self) -> bool {
        self.stopping.load(Ordering::Acquire)
    }

    /// Stops taking new work: members and entries learn of it, what runs may finish.
    pub(crate) fn drain(&self) {
        self.draining.store(true, Ordering::Release);
        let now = self.clock.now();
        self.control().start_drain(now);
        self.host().stop_admission();
        log::info!("draining: no new work is taken");
    }

    /// Ends every thread.
    pub(crate) fn stop(&self) {
        self.stopping.store(true, Ordering::Release);
        self.stop_notify.notify_waiters();
    }

    /// Counts a request in progress at the caller face until the guard is dropped.
    pub(crate) fn track_caller_request(self: &Arc<Self>) -> CallerRequestGuard {
        self.entering.fetch_add(1, Ordering::AcqRel);
        CallerRequestGuard { shared: Arc::clone(self) }
    }

    /// Returns the requests in progress at the caller face.
    pub(crate) fn caller_requests(&self) -> u32 {
        self.entering.load(Ordering::Acquire)
    }
}

/// Counts one request in progress.
pub(crate) struct CallerRequestGuard {
    shared: Arc<Shared>,
}

impl Drop for CallerRequestGuard {
    fn drop(&mut self) {
        self.shared.entering.fetch_sub(1, Ordering::AcqRel);
    }
}

fn new_host_state(settings: &NodeSettings) -> Result<HostState, NodeError> {
    let mut key = [0; 32];
    getrandom::fill(&mut key).map_err(NodeError::Random)?;
    let start = ProcessStartId(random_u64()?);
    Ok(HostState::new(settings, start, TicketKey::new(key), random_u64()?))
}

fn random_u64() -> Result<u64, NodeError> {
    getrandom::u64().map_err(NodeError::Random)
}
