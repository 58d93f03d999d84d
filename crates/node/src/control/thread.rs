//! The control thread: timers, and control messages to other nodes.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use snipehollow_config::model::{ConfigDelta, DeltaError};
use snipehollow_core::ids::ZoneName;
use snipehollow_core::lenient;
use snipehollow_core::membership::{
    DirectoryAction, DirectoryQuery, DirectoryResponse, GossipItem, GossipMessage, MemberAction,
    ProbeId, SyncResponse,
};
use snipehollow_wire::control::{
    self, ConfigNotification, ConfigNotificationResponse, ConfigRequest, ConfigResponse,
    DirectoryRequest, ProbeRequest, ProbeViaRequest, SyncRequest,
};
use tokio::time::timeout;

use super::rpc_client::{RpcError, call};
use super::{rpc_server, watchers};
use crate::NodeError;
use crate::clock::unix_seconds;
use crate::shared::Shared;
use crate::supervisor::Child;

/// Interval of the timers of membership, directory and gate.
const TICK_INTERVAL: Duration = Duration::from_millis(100);
/// Number of members that are notified of a new revision immediately; the others learn it by
/// gossip.
const MEMBER_FAN_OUT: usize = 3;
/// Number of members of each other zone that each watcher notifies of a new revision immediately.
const ZONE_FAN_OUT: usize = 2;
/// Time limit for the response of a member of the zone, as for the probes of the membership.
const MEMBER_TIMEOUT: Duration = Duration::from_millis(300);
/// Number of members that are tried, one after the other, for each notification.
const NOTIFICATION_ATTEMPTS: usize = 4;
/// Ticks between two pulls of the configuration from another zone by a watcher.
const ZONE_PULL_TICKS: u64 = 50;
/// Ticks between two such pulls while the watcher cannot reach the store or no configuration is in
/// force.
const ZONE_PULL_TICKS_WITHOUT_STORE: u64 = 5;

/// Child that runs membership, directory and configuration.
pub(crate) struct ControlThread;

impl Child for ControlThread {
    fn name(&self) -> &'static str {
        "control"
    }

    fn run(&self, shared: &Arc<Shared>) -> Result<(), NodeError> {
        let runtime = tokio::runtime::Builder::new_current_thread()
            .enable_all()
            .build()
            .map_err(|cause| NodeError::Thread { name: "control", cause })?;
        let result = runtime.block_on(run(shared));
        runtime.shutdown_background();
        result
    }
}

async fn run(shared: &Arc<Shared>) -> Result<(), NodeError> {
    let server = rpc_server::start(shared).await?;
    // A pull that ran when this child last failed ended with that run's async runtime.
    shared.config_pull_running.store(false, Ordering::Release);
    let mut interval = tokio::time::interval(TICK_INTERVAL);
    interval.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
    let mut ticks = 0;
    while !shared.is_stopping() {
        interval.tick().await;
        tick(shared, ticks);
        ticks += 1;
    }
    // Fails only if the server has already stopped.
    let _ = server.stop();
    Ok(())
}

fn tick(shared: &Arc<Shared>, ticks: u64) {
    let now = shared.clock.now();
    tick_host(shared);
    let (member_actions, pulls) = {
        let mut guard = shared.control();
        let control = &mut *guard;
        let member_actions = control.membership.tick(now, &mut control.rng);
        (member_actions, control.directory.tick(now))
    };
    for action in member_actions {
        execute_member_action(shared, action);
    }
    for DirectoryAction::Pull { zone, from, query } in pulls {
        tokio::spawn(pull_directory(Arc::clone(shared), zone, from, query));
    }
    let lost_store = watchers::tick(shared, ticks);
    let without_store = lost_store || shared.control().config().revision() == 0;
    let pull_ticks = if without_store { ZONE_PULL_TICKS_WITHOUT_STORE } else { ZONE_PULL_TICKS };
    if ticks.is_multiple_of(pull_ticks) {
        pull_from_remote_zone(shared);
    }
    publish_snapshot(shared);
    notify_members(shared);
}

/// Advances the timers of the host state, starts and ends planned stops, and passes changes of the
/// host state on to the members and the directory.
fn tick_host(shared: &Arc<Shared>) {
    let now = shared.clock.now();
    let stop_planned = is_stop_planned(shared);
    let (info, quarantine_changes, called_services) = {
        let mut host = shared.host();
        host.tick(now);
        if stop_planned && !host.is_admission_stopped() {
            log::info!("planned stop begins, admission stopped");
            host.stop_admission();
        } else if !stop_planned && host.is_admission_stopped() && !shared.is_draining() {
            log::info!("planned stop ended, admission resumed");
            host.resume_admission();
        }
        (host.upstream_info(now), host.take_quarantine_changes(), host.take_called_services())
    };
    let mut control = shared.control();
    control.set_upstream(now, info);
    for service in called_services {
        control.directory.record_call(now, &service);
    }
    for (service, entry) in quarantine_changes {
        control.membership.enqueue_gossip(GossipItem::Quarantine(service, entry));
    }
}

/// Returns whether a planned stop applies to this host now. Planned stops are given in wall-clock
/// time.
fn is_stop_planned(shared: &Shared) -> bool {
    let snapshot = shared.snapshot.load();
    let stops = &snapshot.config.global.stops;
    if stops.is_empty() {
        return false;
    }
    let unix = unix_seconds();
    let settings = &shared.settings;
    let service = shared.host().service();
    stops.iter().any(|stop| {
        stop.is_active(unix) && stop.matches(&settings.host, &settings.zone, service.as_ref())
    })
}

fn publish_snapshot(shared: &Shared) {
    let mut control = shared.control();
    shared.metrics.live_members.set(control.membership.live_count() as i64);
    shared.metrics.revision.set(control.config().revision() as i64);
    let unreadable = lenient::unreadable_entries();
    if shared.metrics.record_unreadable_entries(unreadable) {
        log::warn!(total = unreadable; "entries in messages that cannot be read were left out");
    }
    if let Some(snapshot) = control.build_snapshot() {
        log::info!(
            members = control.membership.live_count(),
            services = snapshot.hosts.len(),
            hosts = snapshot.hosts.values().map(Vec::len).sum::<usize>(),
            revision = snapshot.config.revision;
            "published a new snapshot"
        );
        shared.snapshot.store(Arc::new(snapshot));
    }
    drop(control);
    let host = shared.host();
    shared.metrics.rate_limit.set(host.rate_limit().unwrap_or(-1.0));
    if let Some(gate) = host.gate_state() {
        shared.metrics.in_flight.set(i64::from(gate.in_flight));
        shared.metrics.queued.set(i64::from(gate.queued));
        shared.metrics.limit.set(i64::from(gate.limit));
    }
}

fn execute_member_action(shared: &Arc<Shared>, action: MemberAction) {
    let shared = Arc::clone(shared);
    match action {
        MemberAction::Probe { probe, to } => {
            tokio::spawn(send_probe(shared, probe, to));
        }
        MemberAction::ProbeVia { probe, via, target } => {
            tokio::spawn(send_probe_via(shared, probe, via, target));
        }
        MemberAction::Sync { with } => {
            tokio::spawn(send_sync(shared, with));
        }
        MemberAction::Resumed { gap } => {
            log::warn!(gap_ms = gap.as_millis() as u64; "process was paused");
        }
    }
}

async fn send_probe(shared: Arc<Shared>, probe: ProbeId, to: SocketAddr) {
    let message = shared.control().gossip_message();
    let response = call(&shared, to, control::PROBE, ProbeRequest { message }).await;
    on_probe_response(&shared, probe, response);
}

fn on_probe_response(
    shared: &Arc<Shared>,
    probe: ProbeId,
    response: Result<GossipMessage, RpcError>,
) {
    let now = shared.clock.now();
    match response {
        Ok(message) => {
            let others = shared.control().on_probe_response(now, probe, &message);
            rpc_server::apply_gossip_items(shared, others);
            catch_up_with_sender(shared, &message);
        }
        Err(err) => {
            log::debug!("probe failed: {err}");
            let actions = {
                let mut guard = shared.control();
                let control = &mut *guard;
                control.membership.on_probe_failed(probe, &mut control.rng)
            };
            for action in actions {
                execute_member_action(shared, action);
            }
        }
    }
}

async fn send_probe_via(shared: Arc<Shared>, probe: ProbeId, via: SocketAddr, target: SocketAddr) {
    let message = shared.control().gossip_message();
    let request = ProbeViaRequest { target, message };
    let response: Result<GossipMessage, RpcError> =
        call(&shared, via, control::PROBE_VIA, request).await;
    if let Ok(message) = response {
        on_probe_response(&shared, probe, Ok(message));
    }
}

async fn send_sync(shared: Arc<Shared>, with: SocketAddr) {
    let request = {
        let control = shared.control();
        let Some(own) = control.own_update() else {
            return;
        };
        SyncRequest { own, digests: control.membership.digests().clone() }
    };
    let response: Result<SyncResponse, RpcError> =
        call(&shared, with, control::SYNC, request).await;
    match response {
        Ok(response) => {
            let now = shared.clock.now();
            shared.control().membership.on_sync_response(now, &response);
        }
        Err(err) => log::debug!(with = with.to_string(); "synchronization failed: {err}"),
    }
}

pub(super) async fn pull_directory(
    shared: Arc<Shared>,
    zone: ZoneName,
    from: SocketAddr,
    query: DirectoryQuery,
) {
    let blocked = shared.settings.blocked_zones.contains(&zone);
    let response: Result<DirectoryResponse, RpcError> = if blocked {
        Err(RpcError::blocked())
    } else {
        call(&shared, from, control::DIRECTORY, DirectoryRequest { query }).await
    };
    let now = shared.clock.now();
    if let Ok(response) = &response {
        let mut host = shared.host();
        for entry in &response.quarantine {
            host.merge_quarantine(now, entry);
        }
    }
    let mut control = shared.control();
    match response {
        Ok(response) => control.directory.on_pull_response(&zone, response),
        Err(err) => {
            log::debug!(zone = zone.as_str(); "directory pull failed: {err}");
            control.directory.on_pull_failed(now, &zone);
        }
    }
}

/// Learns the era of the store from a message, and pulls the configuration from its sender if the
/// sender has a newer revision.
pub(super) fn catch_up_with_sender(shared: &Arc<Shared>, message: &GossipMessage) {
    let addr = {
        let mut control = shared.control();
        control.record_store_era(message.store_era);
        if message.revision <= control.config().revision() {
            return;
        }
        control.membership.get(&message.from).map(|member| member.update.info.control)
    };
    if let Some(addr) = addr {
        pull_config(shared, addr);
    }
}

pub(super) fn pull_config(shared: &Arc<Shared>, from: SocketAddr) {
    // Only one pull runs at a time: several messages may announce the same revision.
    if shared.config_pull_running.swap(true, Ordering::AcqRel) {
        return;
    }
    let shared = Arc::clone(shared);
    tokio::spawn(async move {
        pull_config_once(&shared, from).await;
        shared.config_pull_running.store(false, Ordering::Release);
    });
}

/// Pulls the changes since the revision in force, or all sections if they do not apply because this
/// node's own history differs.
async fn pull_config_once(shared: &Arc<Shared>, from: SocketAddr) {
    let revision = shared.control().config().revision();
    if !pull_since(shared, from, revision).await {
        pull_since(shared, from, 0).await;
    }
}

/// Pulls and applies the changes since a revision.
///
/// Returns false if they did not apply and all sections are needed; a failed pull returns true.
async fn pull_since(shared: &Arc<Shared>, from: SocketAddr, revision: u64) -> bool {
    let response: Result<ConfigResponse, RpcError> =
        call(shared, from, control::CONFIG, ConfigRequest { revision }).await;
    match response {
        Ok(response) => response.delta.is_none_or(|delta| apply_config_delta(shared, &delta)),
        Err(err) => {
            log::debug!(from = from.to_string(); "configuration pull failed: {err}");
            true
        }
    }
}

/// Applies a configuration delta and publishes the resulting snapshot.
///
/// Returns false if the delta did not apply and all sections are needed.
pub(crate) fn apply_config_delta(shared: &Arc<Shared>, delta: &ConfigDelta) -> bool {
    let result = shared.control().apply_config(delta);
    match result {
        Ok(()) => {}
        // This or a newer revision has arrived by another path in the meantime.
        Err(DeltaError::NotNewer { .. }) => return true,
        Err(err) => {
            log::warn!("configuration delta not applied: {err}");
            return false;
        }
    }
    publish_snapshot(shared);
    // The store thread has no async runtime to send from, so the next tick notifies the members.
    shared.notification_pending.store(true, Ordering::Release);
    true
}

/// Notifies a few members of a new revision or a departure immediately; the others learn it by
/// gossip.
///
/// A watcher also notifies other zones, because their watchers may be unable to reach the store.
fn notify_members(shared: &Arc<Shared>) {
    if !shared.notification_pending.swap(false, Ordering::AcqRel) {
        return;
    }
    let (members, contacts, revision) = {
        let mut guard = shared.control();
        let control = &mut *guard;
        let members = control.membership.random_live(&mut control.rng, MEMBER_FAN_OUT);
        let notifies_zones = control.is_watcher();
        let contacts = match notifies_zones {
            true => control.directory.random_contacts(&mut control.rng, ZONE_FAN_OUT),
            false => Vec::new(),
        };
        (members, contacts, control.config().revision())
    };
    for to in members {
        tokio::spawn(notify_member(Arc::clone(shared), to));
    }
    for to in contacts {
        tokio::spawn(notify_zone(Arc::clone(shared), to, revision));
    }
}

async fn notify_zone(shared: Arc<Shared>, to: SocketAddr, revision: u64) {
    let notification = ConfigNotification { revision, from: shared.settings.control };
    let response: Result<ConfigNotificationResponse, RpcError> =
        call(&shared, to, control::CONFIG_NOTIFICATION, notification).await;
    match response {
        Ok(response) if response.revision > revision => pull_config(&shared, to),
        Ok(_) => {}
        Err(err) => log::debug!(to = to.to_string(); "notification of a remote zone failed: {err}"),
    }
}

/// Notifies a member of the revision in force, or another one if it does not respond: many members
/// may have died just now.
async fn notify_member(shared: Arc<Shared>, first: SocketAddr) {
    let mut to = first;
    for _ in 0..NOTIFICATION_ATTEMPTS {
        if gossip_to_member(&shared, to).await {
            return;
        }
        let other = {
            let mut guard = shared.control();
            let control = &mut *guard;
            control.membership.random_live(&mut control.rng, 1).pop()
        };
        let Some(other) = other else {
            return;
        };
        to = other;
    }
}

/// Exchanges gossip with a member of the zone; returns whether it responded in time.
pub(super) async fn gossip_to_member(shared: &Arc<Shared>, to: SocketAddr) -> bool {
    let message = shared.control().gossip_message();
    let response = call(shared, to, control::PROBE, ProbeRequest { message });
    match timeout(MEMBER_TIMEOUT, response).await {
        Ok(Ok(message)) => {
            rpc_server::apply_gossip(shared, &message);
            true
        }
        _ => false,
    }
}

/// Pulls the configuration from another zone if this node is a watcher or has no configuration. A
/// zone that can reach other zones but not the store gets its configuration this way.
fn pull_from_remote_zone(shared: &Arc<Shared>) {
    let contact = {
        let mut guard = shared.control();
        let control = &mut *guard;
        if !control.is_watcher() && control.config().revision() > 0 {
            return;
        }
        control.directory.random_contact(&mut control.rng, &shared.settings.blocked_zones)
    };
    if let Some(contact) = contact {
        pull_config(shared, contact);
    }
}
