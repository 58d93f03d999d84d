//! State that the threads of a node share.

use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, OnceLock};
use std::time::Duration;

use arc_swap::ArcSwap;
use snipehollow_config::settings::NodeSettings;
use snipehollow_core::ids::{Incarnation, ServiceName};
use snipehollow_core::invariant;
use snipehollow_core::ticket::{ProcessStartId, TicketKey};
use snipehollow_core::time::Timestamp;
use tokio_util::sync::CancellationToken;

use crate::NodeError;
use crate::adapters::Adapters;
use crate::clock::{Clock, unix_millis};
use crate::control::ControlState;
use crate::host::HostState;
use crate::metrics::Metrics;
use crate::snapshot::Snapshot;
use crate::traffic::InProgress;

/// How long before the end of the drain a refusal must leave the gate of another host to reach the
/// caller in time. A gate looks for expired requests ten times a second.
const RESPONSE_MARGIN: Duration = Duration::from_millis(300);

/// State that the threads of a node share.
///
/// There are two locks. `control` is mainly for the control thread; the upstream listener, the
/// admin server and the store thread also take it briefly. `host` is held by the traffic threads
/// for one decision at a time. A thread that needs both locks `control` first.
pub(crate) struct Shared {
    pub(crate) settings: NodeSettings,
    pub(crate) adapters: Adapters,
    pub(crate) clock: Clock,
    pub(crate) metrics: Metrics,
    pub(crate) snapshot: ArcSwap<Snapshot>,
    /// Service of the local upstream from the settings, which may be reloaded.
    configured_service: ArcSwap<Option<ServiceName>>,
    control: Mutex<ControlState>,
    host: Mutex<HostState>,
    /// Whether this host is leaving and admits no new tries.
    draining: AtomicBool,
    /// When a stopping node must have responded to all callers; unset before it stops.
    calls_end: OnceLock<Timestamp>,
    /// Cancelled when `calls_end` is set.
    end_set: CancellationToken,
    /// Cancelled when the time for the calls in progress is over.
    calls_ended: CancellationToken,
    /// Whether callers' requests are refused because the process will end soon.
    refusing_callers: AtomicBool,
    /// Whether all threads must end now.
    stopping: AtomicBool,
    /// Requests in progress at the caller listener.
    pub(crate) caller_requests: InProgress,
    /// Tries in progress at the peer listener.
    pub(crate) peer_tries: InProgress,
    /// Whether there is something that no member has been notified of: a new revision in force, or a
    /// departure of the upstream.
    pub(crate) notification_pending: AtomicBool,
    /// Whether a pull of the configuration from another node is running.
    pub(crate) config_pull_running: AtomicBool,
    /// Wakes async tasks that wait for the stop.
    pub(crate) stop_notify: tokio::sync::Notify,
}

impl Shared {
    pub(crate) fn new(settings: NodeSettings, adapters: Adapters) -> Result<Shared, NodeError> {
        if settings.assert_invariants {
            invariant::enable();
        }
        let seed = random_u64()?;
        let control = ControlState::new(&settings, Incarnation(unix_millis()), seed);
        let mut host = new_host_state(&settings)?;
        let has_health_checks = adapters.protocol.has_health_checks();
        if adapters.store.is_some() || has_health_checks {
            host.await_departures(has_health_checks);
        }
        let configured_service = ArcSwap::from_pointee(settings.service.clone());
        Ok(Shared {
            configured_service,
            settings,
            adapters,
            clock: Clock::new(),
            metrics: Metrics::new(),
            snapshot: ArcSwap::default(),
            control: Mutex::new(control),
            host: Mutex::new(host),
            draining: AtomicBool::new(false),
            calls_end: OnceLock::new(),
            end_set: CancellationToken::new(),
            calls_ended: CancellationToken::new(),
            refusing_callers: AtomicBool::new(false),
            stopping: AtomicBool::new(false),
            caller_requests: InProgress::default(),
            peer_tries: InProgress::default(),
            notification_pending: AtomicBool::new(false),
            config_pull_running: AtomicBool::new(false),
            stop_notify: tokio::sync::Notify::new(),
        })
    }

    /// Locks the control state.
    ///
    /// Panics if a thread panicked while it held the lock, since the state may then be
    /// inconsistent. The panic reaches every user of the state, and the supervisor ends the
    /// process.
    pub(crate) fn control(&self) -> MutexGuard<'_, ControlState> {
        self.control.lock().expect("control state is poisoned by an earlier panic")
    }

    /// Locks the state of the local gate and of the entry node.
    ///
    /// Panics under the same condition as [`Shared::control`].
    pub(crate) fn host(&self) -> MutexGuard<'_, HostState> {
        self.host.lock().expect("host state is poisoned by an earlier panic")
    }

    pub(crate) fn is_draining(&self) -> bool {
        self.draining.load(Ordering::Acquire)
    }

    /// Sets when this node, which stops, must have responded to all callers.
    pub(crate) fn set_calls_end(&self) {
        let time_left = self.settings.drain_timeout.saturating_sub(RESPONSE_MARGIN);
        // It stays as it was first set.
        let _ = self.calls_end.set(self.clock.now() + time_left);
        self.end_set.cancel();
    }

    /// Returns when this node must have responded to all callers; `None` unless it stops.
    pub(crate) fn calls_end(&self) -> Option<Timestamp> {
        self.calls_end.get().copied()
    }

    /// Waits until [`Shared::calls_end`] is set.
    pub(crate) async fn calls_end_set(&self) {
        self.end_set.cancelled().await;
    }

    /// Waits until the time for the calls in progress is over.
    pub(crate) async fn calls_ended(&self) {
        self.calls_ended.cancelled().await;
    }

    /// Makes the calls that are still in progress respond that their outcome is unknown.
    pub(crate) fn end_calls(&self) {
        self.calls_ended.cancel();
    }

    /// Sets the service that the settings name for the local upstream.
    pub(crate) fn set_configured_service(&self, service: Option<ServiceName>) {
        self.configured_service.store(Arc::new(service));
    }

    /// Returns the service that the settings name for the local upstream.
    pub(crate) fn configured_service(&self) -> Option<ServiceName> {
        Option::clone(&self.configured_service.load())
    }

    /// Returns the service on this host: the announced one, or else the one from the settings.
    pub(crate) fn local_service(&self) -> Option<ServiceName> {
        self.host().service().or_else(|| self.configured_service())
    }

    /// Returns whether callers' requests are refused because the process will end soon.
    pub(crate) fn is_refusing_callers(&self) -> bool {
        self.refusing_callers.load(Ordering::Acquire)
    }

    /// Makes the caller listener refuse requests from now on.
    pub(crate) fn refuse_callers(&self) {
        self.refusing_callers.store(true, Ordering::Release);
    }

    /// Returns whether this node is ready for callers: it has a configuration and is not draining.
    pub(crate) fn is_ready(&self) -> bool {
        self.snapshot.load().config.revision > 0 && !self.is_draining()
    }

    pub(crate) fn is_stopping(&self) -> bool {
        self.stopping.load(Ordering::Acquire)
    }

    /// Stops admitting tries and announces to the members that this host is leaving; tries in
    /// flight may finish.
    pub(crate) fn drain(&self) {
        self.draining.store(true, Ordering::Release);
        let now = self.clock.now();
        self.control().start_drain(now);
        self.host().stop_admission();
        log::info!("draining, no new tries are admitted");
    }

    /// Signals all threads to end.
    pub(crate) fn stop(&self) {
        self.stopping.store(true, Ordering::Release);
        self.stop_notify.notify_waiters();
    }
}

fn new_host_state(settings: &NodeSettings) -> Result<HostState, NodeError> {
    let mut key = [0; 32];
    getrandom::fill(&mut key).map_err(NodeError::Random)?;
    let process_start = ProcessStartId(random_u64()?);
    Ok(HostState::new(settings, process_start, TicketKey::new(key), random_u64()?))
}

fn random_u64() -> Result<u64, NodeError> {
    getrandom::u64().map_err(NodeError::Random)
}
