//! The control thread.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use snipehollow_config::model::{ConfigDelta, DeltaError};
use snipehollow_core::ids::ZoneName;
use snipehollow_core::membership::{
    DirectoryAction, DirectoryQuery, DirectoryResponse, GossipItem, GossipMessage, MemberAction,
    ProbeId, SyncResponse,
};
use snipehollow_wire::control::{
    self, ConfigNotification, ConfigNotificationResponse, ConfigRequest, ConfigResponse,
    DirectoryRequest, ProbeRequest, ProbeViaRequest, SyncRequest,
};

use super::rpc_client::{RpcError, call};
use super::rpc_server;
use crate::NodeError;
use crate::clock::unix_seconds;
use crate::shared::Shared;
use crate::supervisor::Child;

/// Time between two ticks.
const TICK: Duration = Duration::from_millis(100);
/// Members that are told at once of a new revision.
const FAN_OUT: usize = 3;
/// Members of each other zone that are told at once of a new revision by each watcher.
const ZONE_FAN_OUT: usize = 2;
/// Ticks between two pulls of the configuration from another zone by a watcher.
const ZONE_PULL_TICKS: u64 = 50;
/// Ticks between two such pulls while the store does not answer the watcher, or no
/// configuration is in force.
const ZONE_PULL_TICKS_WITHOUT_STORE: u64 = 5;

/// Runs membership, directory and configuration.
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
    shared.config_pull_running.store(false, Ordering::Release);
    let mut interval = tokio::time::interval(TICK);
    interval.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
    let mut ticks = 0;
    while !shared.is_stopping() {
        interval.tick().await;
        tick(shared, ticks);
        ticks += 1;
    }
    // Already stopped is as good.
    let _ = server.stop();
    Ok(())
}

fn tick(shared: &Arc<Shared>, ticks: u64) {
    let now = shared.clock.now();
    tick_host(shared);
    let (members, pulls) = {
        let mut guard = shared.control();
        let control = &mut *guard;
        let members = control.membership.tick(now, &mut control.rng);
        (members, control.directory.tick(now))
    };
    for action in members {
        carry_out(shared, action);
    }
    for DirectoryAction::Pull { zone, from, query } in pulls {
        tokio::spawn(pull_directory(Arc::clone(shared), zone, from, query));
    }
    let without_store = {
        let control = shared.control();
        control.store_reachable == Some(false) || control.config().revision() == 0
    };
    let pull_ticks = if without_store { ZONE_PULL_TICKS_WITHOUT_STORE } else { ZONE_PULL_TICKS };
    if ticks.is_multiple_of(pull_ticks) {
        pull_from_other_zone(shared);
    }
    publish(shared);
    tell_members(shared);
}

/// Advances the gate's timers, planned stops and what the host tells the members.
fn tick_host(shared: &Arc<Shared>) {
    let now = shared.clock.now();
    let stopped = is_stop_planned(shared);
    let (facts, changes, wanted) = {
        let mut host = shared.host();
        host.tick(now);
        if stopped && !host.is_admission_stopped() {
            log::info!("a planned stop begins");
            host.stop_admission();
        } else if !stopped && host.is_admission_stopped() && !shared.is_draining() {
            log::info!("a planned stop ends");
            host.resume_admission();
        }
        (host.upstream_info(now), host.take_quarantine_changes(), host.take_called_services())
    };
    let mut control = shared.control();
    control.set_upstream(now, facts);
    for service in wanted {
        control.directory.record_call(now, &service);
    }
    for (service, entry) in changes {
        control.membership.enqueue_gossip(GossipItem::Quarantine(service, entry));
    }
}

/// Planned stops alone use the wall clock.
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

fn publish(shared: &Shared) {
    let mut control = shared.control();
    shared.metrics.members.set(control.membership.live_count() as i64);
    shared.metrics.revision.set(control.config().revision() as i64);
    if let Some(snapshot) = control.publish() {
        log::info!(
            members = control.membership.live_count(),
            services = snapshot.hosts.len(),
            hosts = snapshot.hosts.values().map(Vec::len).sum::<usize>(),
            revision = snapshot.config.revision;
            "the view of hosts and routes changed"
        );
        shared.snapshot.store(Arc::new(snapshot));
    }
    drop(control);
    if let Some(gate) = shared.host().gate_state() {
        shared.metrics.in_flight.set(i64::from(gate.in_flight));
        shared.metrics.queued.set(i64::from(gate.queued));
        shared.metrics.limit.set(i64::from(gate.limit));
    }
}

fn carry_out(shared: &Arc<Shared>, action: MemberAction) {
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
            log::warn!(gap_ms = gap.as_millis() as u64; "this process was paused");
        }
    }
}

async fn send_probe(shared: Arc<Shared>, probe: ProbeId, to: SocketAddr) {
    let message = shared.control().message();
    let answer = call(&shared, to, control::PROBE, ProbeRequest { message }).await;
    on_probe_answer(&shared, probe, answer);
}

fn on_probe_answer(shared: &Arc<Shared>, probe: ProbeId, answer: Result<GossipMessage, RpcError>) {
    let now = shared.clock.now();
    match answer {
        Ok(message) => {
            let others = shared.control().membership.on_probe_response(now, probe, &message);
            rpc_server::take_in_items(shared, others);
            pull_if_behind(shared, &message);
        }
        Err(err) => {
            log::debug!("probe failed: {err}");
            let actions = {
                let mut guard = shared.control();
                let control = &mut *guard;
                control.membership.on_probe_failed(probe, &mut control.rng)
            };
            for action in actions {
                carry_out(shared, action);
            }
        }
    }
}

async fn send_probe_via(shared: Arc<Shared>, probe: ProbeId, via: SocketAddr, target: SocketAddr) {
    let message = shared.control().message();
    let request = ProbeViaRequest { target, message };
    let answer: Result<GossipMessage, RpcError> =
        call(&shared, via, control::PROBE_VIA, request).await;
    if let Ok(message) = answer {
        on_probe_answer(&shared, probe, Ok(message));
    }
}

async fn send_sync(shared: Arc<Shared>, with: SocketAddr) {
    let request = {
        let control = shared.control();
        let Some(own) = control.own() else {
            return;
        };
        SyncRequest { own, digests: control.membership.digests().clone() }
    };
    let answer: Result<SyncResponse, RpcError> = call(&shared, with, control::SYNC, request).await;
    match answer {
        Ok(answer) => {
            let now = shared.clock.now();
            shared.control().membership.on_sync_response(now, &answer);
        }
        Err(err) => log::debug!(with = with.to_string(); "synchronization failed: {err}"),
    }
}

async fn pull_directory(
    shared: Arc<Shared>,
    zone: ZoneName,
    from: SocketAddr,
    query: DirectoryQuery,
) {
    let blocked = shared.settings.blocked_zones.contains(&zone);
    let answer: Result<DirectoryResponse, RpcError> = if blocked {
        Err(RpcError::blocked())
    } else {
        call(&shared, from, control::DIRECTORY, DirectoryRequest { query }).await
    };
    let now = shared.clock.now();
    if let Ok(answer) = &answer {
        let mut host = shared.host();
        for entry in &answer.quarantine {
            host.merge_quarantine(now, entry);
        }
    }
    let mut control = shared.control();
    match answer {
        Ok(answer) => control.directory.on_pull_response(&zone, answer),
        Err(err) => {
            log::debug!(zone = zone.as_str(); "directory pull failed: {err}");
            control.directory.on_pull_failed(now, &zone);
        }
    }
}

/// Pulls the configuration from a member that has a newer one.
pub(super) fn pull_if_behind(shared: &Arc<Shared>, message: &GossipMessage) {
    let addr = {
        let control = shared.control();
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
    // One pull at a time: several messages may tell of the same revision.
    if shared.config_pull_running.swap(true, Ordering::AcqRel) {
        return;
    }
    let shared = Arc::clone(shared);
    tokio::spawn(async move {
        pull_config_once(&shared, from).await;
        shared.config_pull_running.store(false, Ordering::Release);
    });
}

/// Pulls what this node lacks; all of it if its own history differs.
async fn pull_config_once(shared: &Arc<Shared>, from: SocketAddr) {
    let revision = shared.control().config().revision();
    if !pull_since(shared, from, revision).await {
        pull_since(shared, from, 0).await;
    }
}

async fn pull_since(shared: &Arc<Shared>, from: SocketAddr, revision: u64) -> bool {
    let answer: Result<ConfigResponse, RpcError> =
        call(shared, from, control::CONFIG, ConfigRequest { revision }).await;
    match answer {
        Ok(answer) => answer.delta.is_none_or(|delta| apply_config_delta(shared, &delta)),
        Err(err) => {
            log::debug!(from = from.to_string(); "configuration pull failed: {err}");
            true
        }
    }
}

/// Puts a configuration in force.
///
/// Returns false if it was not taken and the whole of it is needed.
pub(crate) fn apply_config_delta(shared: &Arc<Shared>, delta: &ConfigDelta) -> bool {
    let result = shared.control().apply_config(delta);
    match result {
        Ok(()) => {}
        // Another way brought it, or a newer one, meanwhile.
        Err(DeltaError::NotNewer { .. }) => return true,
        Err(err) => {
            log::warn!("configuration was not taken: {err}");
            return false;
        }
    }
    publish(shared);
    // The store thread has no runtime to send from, so the next tick tells the members.
    shared.notification_pending.store(true, Ordering::Release);
    true
}

/// Tells a few members at once of a new revision; the others learn of it by gossip.
///
/// A watcher tells other zones too, for those whose watchers the store does not answer.
fn tell_members(shared: &Arc<Shared>) {
    if !shared.notification_pending.swap(false, Ordering::AcqRel) {
        return;
    }
    let (members, contacts, revision) = {
        let mut guard = shared.control();
        let control = &mut *guard;
        let members = control.membership.random_live(&mut control.rng, FAN_OUT);
        let tells_zones = control.is_watcher();
        let contacts = match tells_zones {
            true => control.directory.random_contacts(&mut control.rng, ZONE_FAN_OUT),
            false => Vec::new(),
        };
        (members, contacts, control.config().revision())
    };
    for to in members {
        tokio::spawn(tell_member(Arc::clone(shared), to));
    }
    for to in contacts {
        tokio::spawn(tell_zone(Arc::clone(shared), to, revision));
    }
}

async fn tell_zone(shared: Arc<Shared>, to: SocketAddr, revision: u64) {
    let news = ConfigNotification { revision, from: shared.settings.control };
    let answer: Result<ConfigNotificationResponse, RpcError> =
        call(&shared, to, control::CONFIG_NOTIFICATION, news).await;
    match answer {
        Ok(answer) if answer.revision > revision => pull_config(&shared, to),
        Ok(_) => {}
        Err(err) => log::debug!(to = to.to_string(); "a zone was not told: {err}"),
    }
}

async fn tell_member(shared: Arc<Shared>, to: SocketAddr) {
    let message = shared.control().message();
    let answer: Result<GossipMessage, RpcError> =
        call(&shared, to, control::PROBE, ProbeRequest { message }).await;
    if let Ok(message) = answer {
        rpc_server::take_in(&shared, &message);
    }
}

/// Lets a watcher learn the configuration from another zone, for a zone that is cut off from
/// the store only.
fn pull_from_other_zone(shared: &Arc<Shared>) {
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
