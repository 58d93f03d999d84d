//! Finds the local upstream of a node that has just started.
//!
//! An upstream announces itself once in a heartbeat, so a node that was restarted would refuse
//! its requests for up to that long. Its health check says at once whether it serves and which
//! start it is; what it does not say is taken as little until the announcement comes.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::Full;
use hyper::Request;
use hyper::header::{HOST, HeaderValue};
use snipehollow_core::ids::{InstanceId, ServiceName};
use snipehollow_core::membership::{UpstreamInfo, UpstreamState};
use snipehollow_wire::admin::Announcement;

use super::Traffic;
use super::exchange::{ExchangeLimits, exchange};
use super::pool::Reuse;
use crate::host::UNKNOWN_PROCESS_START;

/// Time after the start in which the upstream is looked for: two heartbeats of it.
const PROBE_TIME: Duration = Duration::from_secs(3);
/// Time between two looks for a configuration, or for an upstream that did not answer.
const PROBE_INTERVAL: Duration = Duration::from_millis(100);
/// Time in which a health check must be answered; a full upstream lets it wait for a slot.
const PROBE_TIMEOUT: Duration = Duration::from_millis(500);
/// Health checks that one start of a node sends at most.
const MAX_PROBES: u32 = 5;
/// Most bytes of an answer to a health check.
const MAX_ANSWER_BYTES: usize = 4_096;
/// Time for which an upstream that was found counts as serving without an announcement.
const FOUND_TTL_MS: u32 = 4_000;
/// Connections a slot, as upstreams have them: fewer slots than these are not expected.
const CONNECTIONS_PER_SLOT: u32 = 12;
/// Slots assumed of an upstream whose connections are not known either.
const ASSUMED_SLOTS: u32 = 8;

/// Looks for the local upstream until it is found, announces itself, or the time is over.
pub(super) async fn find_upstream(traffic: Traffic) {
    let Some(addr) = traffic.shared.settings.upstream_addr else {
        return;
    };
    let until = traffic.shared.clock.now() + PROBE_TIME;
    let mut probes = 0;
    while traffic.shared.clock.now() < until && probes < MAX_PROBES {
        if traffic.shared.host().has_upstream() {
            return;
        }
        if let Some(target) = Target::of(&traffic) {
            probes += 1;
            if let Some(instance) = probe(&traffic, addr, &target.health_path).await {
                take_in(&traffic, addr, instance, &target);
                return;
            }
        }
        tokio::time::sleep(PROBE_INTERVAL).await;
    }
}

/// What the configuration says of the local upstream.
struct Target {
    service: ServiceName,
    health_path: String,
    slots: u32,
}

impl Target {
    fn of(traffic: &Traffic) -> Option<Target> {
        let service = traffic.shared.local_service()?;
        let config = traffic.shared.snapshot.load().config.clone();
        let section = config.service(&service)?;
        let slots = section.max_connections.map(|most| (most / CONNECTIONS_PER_SLOT).max(1));
        Some(Target {
            health_path: section.health_path.clone()?,
            slots: slots.unwrap_or(ASSUMED_SLOTS),
            service,
        })
    }
}

async fn probe(traffic: &Traffic, addr: SocketAddr, path: &str) -> Option<InstanceId> {
    let mut req = Request::new(Full::new(Bytes::new()));
    *req.uri_mut() = path.parse().ok()?;
    req.headers_mut().insert(HOST, HeaderValue::from_str(&addr.to_string()).ok()?);
    let deadline = std::time::Instant::now() + PROBE_TIMEOUT;
    let limits = ExchangeLimits { max_bytes: MAX_ANSWER_BYTES, unframed: false, reuse: Reuse::Any };
    let Ok(mut whole) = exchange(&traffic.pool, addr, req, deadline, limits).await else {
        log::info!(addr = addr.to_string(); "the upstream does not answer a health check");
        return None;
    };
    if let Some(connection) = whole.connection.take() {
        traffic.pool.give_back(connection);
    }
    let found = traffic.shared.edges.protocol.read_health(whole.status, &whole.headers);
    if found.is_none() {
        let status = whole.status.as_u16();
        log::info!(addr = addr.to_string(), status; "the upstream does not say that it serves");
    }
    found
}

fn take_in(traffic: &Traffic, addr: SocketAddr, instance: InstanceId, target: &Target) {
    let now = traffic.shared.clock.now();
    let upstream = UpstreamInfo {
        service: target.service.clone(),
        slots: target.slots,
        state: UpstreamState::Serving,
    };
    let found = Announcement {
        upstream,
        addr,
        connections: u32::MAX,
        start: UNKNOWN_PROCESS_START,
        ttl_ms: FOUND_TTL_MS,
        instance: Some(instance),
        sequence: 0,
        cold_ms: 0,
    };
    let facts = {
        let mut host = traffic.shared.host();
        if host.has_upstream() {
            return;
        }
        host.handle_announcement(now, &found)
    };
    traffic.shared.control().set_upstream(now, facts);
}
