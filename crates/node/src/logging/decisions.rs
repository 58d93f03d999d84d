//! Log lines about requests: where each try went, what its gate did, how the request ended.

use std::time::Duration;

use snipehollow_core::admission::LoadLevel;
use snipehollow_core::ids::RequestId;
use snipehollow_core::membership::UpstreamState;
use snipehollow_core::outcome::Outcome;
use snipehollow_core::routing::{Distance, Route};
use snipehollow_core::time::Timestamp;
use snipehollow_wire::admin::Announcement;

use crate::traffic::{Call, NodeResponse};

/// Target of the lines about requests.
const TARGET: &str = "decision";

/// What the choice of a host was based on.
pub(crate) struct RouteBasis {
    /// Age of the load level that the host last reported.
    pub(crate) level_age: Option<Duration>,
    /// Hosts that were known of the service.
    pub(crate) known_hosts: usize,
    /// Revision of the configuration.
    pub(crate) revision: u64,
}

/// Logs where a try goes.
pub(crate) fn routed(call: &Call, route: &Route, basis: &RouteBasis) {
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

/// Logs a request that was shed before its call tree began.
pub(crate) fn shed(call: &Call, level: f64) {
    log::warn!(
        target: TARGET,
        id = call.id.as_str(),
        class = call.class.name.as_str(),
        rank = call.class.rank.0,
        service = call.service.as_str(),
        pressure = level;
        "shed"
    );
}

/// Logs a start of the local upstream that was not known before.
pub(crate) fn upstream_known(announcement: &Announcement) {
    log::info!(
        instance = announcement.instance.as_ref().map_or("", |id| id.as_str()),
        service = announcement.upstream.service.as_str(),
        start = announcement.start,
        sequence = announcement.sequence,
        slots = announcement.upstream.slots,
        serves = announcement.upstream.state == UpstreamState::Serving;
        "an upstream is known"
    );
}

/// Logs what became of a try at the gate and the upstream of this host.
pub(crate) fn gated(call: &Call, now: Timestamp, answer: &NodeResponse, load: Option<&LoadLevel>) {
    let (in_flight, limit, queued) =
        load.map_or((0, 0, 0), |load| (load.in_flight, load.limit, load.queued));
    let level = level_of(answer);
    log::log!(
        target: TARGET,
        level,
        id = call.id.as_str(),
        attempt = call.attempt,
        class = call.class.name.as_str(),
        rank = call.class.rank.0,
        reason = answer.reason.as_str(),
        outcome = answer.outcome.as_str(),
        status = answer.status.as_u16(),
        in_flight,
        limit,
        queued,
        pressure_milli = answer.shedding_levels.map_or(0, |pressure| pressure.level_milli),
        here_ms = now.since(call.received).as_millis() as u64,
        left_ms = call.deadline.since(now).as_millis() as u64;
        "gate"
    );
}

/// Logs the final answer to a request.
pub(crate) fn answered(call: &Call, now: Timestamp, answer: &NodeResponse, revision: u64) {
    let level = level_of(answer);
    log::log!(
        target: TARGET,
        level,
        id = call.id.as_str(),
        tries = answer.tries,
        class = call.class.name.as_str(),
        service = call.service.as_str(),
        reason = answer.reason.as_str(),
        outcome = answer.outcome.as_str(),
        status = answer.status.as_u16(),
        took_ms = now.since(call.received).as_millis() as u64,
        left_ms = call.deadline.since(now).as_millis() as u64,
        revision;
        "answered"
    );
}

/// Logs that a caller left before its answer.
pub(crate) fn abandoned(call: &Call, now: Timestamp) {
    log::warn!(
        target: TARGET,
        id = call.id.as_str(),
        class = call.class.name.as_str(),
        took_ms = now.since(call.received).as_millis() as u64,
        left_ms = call.deadline.since(now).as_millis() as u64;
        "caller left"
    );
}

/// Logs a request that was refused before it was a call.
pub(crate) fn not_accepted(id: Option<&RequestId>, answer: &NodeResponse, revision: u64) {
    log::warn!(
        target: TARGET,
        id = id.map_or("", |id| id.as_str()),
        reason = answer.reason.as_str(),
        status = answer.status.as_u16(),
        revision;
        "not accepted"
    );
}

fn level_of(answer: &NodeResponse) -> log::Level {
    let good = answer.outcome == Outcome::Ran && !answer.status.is_server_error();
    if good { log::Level::Info } else { log::Level::Warn }
}
