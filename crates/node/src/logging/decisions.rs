//! Log lines about requests: the host chosen for each try, the result at its gate, and the outcome
//! of the request.

use std::time::Duration;

use snipehollow_core::admission::LoadLevel;
use snipehollow_core::ids::{InstanceId, RequestId};
use snipehollow_core::membership::UpstreamState;
use snipehollow_core::outcome::Outcome;
use snipehollow_core::routing::{Distance, Route};
use snipehollow_core::time::Timestamp;
use snipehollow_wire::admin::Announcement;

use crate::traffic::{Call, NodeResponse};

/// Log target of the lines about requests.
const TARGET: &str = "decision";

/// Information that the choice of a host was based on.
pub(crate) struct RouteBasis {
    /// Age of the host's last reported load level; `None` if it never reported one.
    pub(crate) level_age: Option<Duration>,
    /// Number of known hosts of the service.
    pub(crate) known_hosts: usize,
    /// Revision of the configuration in force.
    pub(crate) revision: u64,
}

/// Logs the host that a try is sent to.
pub(crate) fn log_route(call: &Call, route: &Route, basis: &RouteBasis) {
    let distance = match route.distance {
        Distance::Zone => "zone",
        Distance::Region => "region",
        Distance::Remote => "remote",
    };
    log::info!(
        target: TARGET,
        id = call.id.as_str(),
        attempt = call.attempt,
        class = call.class.name.as_str(),
        caller = call.caller.as_str(),
        service = call.service.as_str(),
        host = route.host.host.as_str(),
        distance,
        level_age_ms = basis.level_age.map_or(-1, |age| age.as_millis() as i64),
        known_hosts = basis.known_hosts,
        revision = basis.revision;
        "routed"
    );
}

/// Logs a root request that was shed because a dependency of its class is overloaded.
///
/// `shedding_level` is the one that applied to the request.
pub(crate) fn log_shed(call: &Call, shedding_level: f64) {
    log::warn!(
        target: TARGET,
        id = call.id.as_str(),
        class = call.class.name.as_str(),
        rank = call.class.rank.0,
        service = call.service.as_str(),
        pressure = shedding_level;
        "shed"
    );
}

/// Logs an instance (process start) of the local upstream that the node did not know before.
pub(crate) fn log_upstream_instance(announcement: &Announcement) {
    log::info!(
        instance = announcement.instance.as_ref().map_or("", |id| id.as_str()),
        service = announcement.upstream.service.as_str(),
        start = announcement.start,
        sequence = announcement.sequence,
        slots = announcement.upstream.slots,
        serves = announcement.upstream.state == UpstreamState::Serving;
        "new upstream instance"
    );
}

/// Logs that the local upstream named a rate limit, in requests per second.
pub(crate) fn log_rate_limit(instance: Option<&InstanceId>, per_second: f64) {
    let instance = instance.map_or("", |id| id.as_str());
    log::info!(instance, per_second; "upstream named a rate limit");
}

/// Logs that an entry node reported a rate limit of the local upstream, in requests per second.
pub(crate) fn log_adopted_rate_limit(instance: Option<&InstanceId>, per_second: f64) {
    let instance = instance.map_or("", |id| id.as_str());
    log::info!(instance, per_second; "rate limit of the upstream adopted from an entry node");
}

/// Logs that the local upstream no longer names a rate limit.
pub(crate) fn log_rate_limit_end(instance: Option<&InstanceId>) {
    log::info!(instance = instance.map_or("", |id| id.as_str()); "upstream named no rate limit any more");
}

/// Logs that a response of the local upstream said that the upstream is leaving.
pub(crate) fn log_said_leaving(instance: Option<&InstanceId>) {
    log::info!(instance = instance.map_or("", |id| id.as_str()); "upstream said that it is leaving");
}

/// Logs the result of a try at the gate and the upstream of this host.
pub(crate) fn log_gate_result(
    call: &Call,
    now: Timestamp,
    response: &NodeResponse,
    load: Option<&LoadLevel>,
    rate_limit: Option<f64>,
) {
    let (in_flight, limit, queued) =
        load.map_or((0, 0, 0), |load| (load.in_flight, load.limit, load.queued));
    let level = severity(response);
    log::log!(
        target: TARGET,
        level,
        id = call.id.as_str(),
        attempt = call.attempt,
        class = call.class.name.as_str(),
        rank = call.class.rank.0,
        reason = response.reason.as_str(),
        outcome = response.outcome.as_str(),
        status = response.status.as_u16(),
        in_flight,
        limit,
        queued,
        rate_limit = rate_limit.unwrap_or(-1.0),
        pressure_milli = response.shedding_levels.map_or(0, |levels| levels.level_milli),
        here_ms = now.since(call.received).as_millis() as u64,
        left_ms = call.deadline.since(now).as_millis() as u64;
        "gate"
    );
}

/// Logs the response that the entry node sends to the caller of a request.
pub(crate) fn log_response(call: &Call, now: Timestamp, response: &NodeResponse, revision: u64) {
    let level = severity(response);
    log::log!(
        target: TARGET,
        level,
        id = call.id.as_str(),
        tries = response.tries,
        class = call.class.name.as_str(),
        service = call.service.as_str(),
        reason = response.reason.as_str(),
        outcome = response.outcome.as_str(),
        status = response.status.as_u16(),
        took_ms = now.since(call.received).as_millis() as u64,
        left_ms = call.deadline.since(now).as_millis() as u64,
        revision;
        "answered"
    );
}

/// Logs that a caller disconnected before the response.
pub(crate) fn log_caller_disconnect(call: &Call, now: Timestamp) {
    log::warn!(
        target: TARGET,
        id = call.id.as_str(),
        class = call.class.name.as_str(),
        took_ms = now.since(call.received).as_millis() as u64,
        left_ms = call.deadline.since(now).as_millis() as u64;
        "caller disconnected"
    );
}

/// Logs a request that was rejected before it became a [`Call`], for example as malformed.
pub(crate) fn log_rejected_request(id: Option<&RequestId>, response: &NodeResponse, revision: u64) {
    log::warn!(
        target: TARGET,
        id = id.map_or("", |id| id.as_str()),
        reason = response.reason.as_str(),
        status = response.status.as_u16(),
        revision;
        "request rejected"
    );
}

fn severity(response: &NodeResponse) -> log::Level {
    let succeeded = response.outcome == Outcome::Ran && !response.status.is_server_error();
    if succeeded { log::Level::Info } else { log::Level::Warn }
}
