//! Discovers the local upstream of a node that has just started.
//!
//! An upstream announces itself once per heartbeat interval, so a restarted node would refuse
//! requests for up to that long. A health check shows immediately whether the upstream is serving
//! and which instance it is. For what it does not show, such as the number of slots, low values
//! are assumed until the announcement arrives.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::Full;
use hyper::Request;
use hyper::header::{HOST, HeaderValue};
use snipehollow_core::admission::UNKNOWN_PROCESS_START;
use snipehollow_core::ids::{InstanceId, ServiceName};
use snipehollow_core::membership::{UpstreamInfo, UpstreamState};
use snipehollow_wire::admin::Announcement;

use super::TrafficContext;
use super::exchange::{ExchangeOptions, exchange};
use super::pool::Reuse;
use crate::adapters::RateSignal;

/// How long after the start of the node the upstream is probed: two of its heartbeat intervals.
const PROBE_PERIOD: Duration = Duration::from_secs(3);
/// Interval between probes, and between checks for a configuration that does not exist yet.
const PROBE_INTERVAL: Duration = Duration::from_millis(100);
/// Time limit for a health check; a busy upstream makes it wait for a slot.
const PROBE_TIMEOUT: Duration = Duration::from_millis(500);
/// Maximum number of health checks per process start.
const MAX_PROBES: u32 = 5;
/// Maximum size of the response body to a health check.
const MAX_RESPONSE_BYTES: usize = 4_096;
/// How long a discovered upstream counts as serving without an announcement.
const DISCOVERED_TTL_MS: u32 = 4_000;
/// Connections per slot, used to derive slots from the connection limit. No upstream is expected
/// to have fewer slots than this yields.
const CONNECTIONS_PER_SLOT: u32 = 12;
/// Slots assumed if the connection limit is not configured either.
const ASSUMED_SLOTS: u32 = 8;

/// Probes the local upstream until it responds as serving or announces itself, or until the probe
/// period or the number of probes is exhausted.
pub(super) async fn discover_upstream(traffic: TrafficContext) {
    let Some(addr) = traffic.shared.settings.upstream_addr else {
        return;
    };
    let probe_end = traffic.shared.clock.now() + PROBE_PERIOD;
    let mut probes = 0;
    while traffic.shared.clock.now() < probe_end && probes < MAX_PROBES {
        if traffic.shared.host().has_upstream() {
            return;
        }
        let target = traffic.shared.local_service().and_then(|it| ProbeTarget::of(&traffic, it));
        if let Some(target) = target {
            probes += 1;
            if probe_and_confirm(&traffic, addr, &target).await {
                return;
            }
        }
        tokio::time::sleep(PROBE_INTERVAL).await;
    }
}

/// Probes the local upstream once if its announcement is held. Returns within [`PROBE_TIMEOUT`], so that
/// the acknowledgement of the announcement can wait for it.
pub(super) async fn confirm_held_announcement(traffic: &TrafficContext) {
    let held = traffic.shared.host().held_announcement().cloned();
    let Some(held) = held else {
        return;
    };
    if let Some(target) = ProbeTarget::of(traffic, held.upstream.service) {
        probe_and_confirm(traffic, held.addr, &target).await;
    }
}

/// Probes the upstream, and uses it if it responds as serving; returns whether it does.
async fn probe_and_confirm(
    traffic: &TrafficContext,
    addr: SocketAddr,
    target: &ProbeTarget,
) -> bool {
    let found = probe(traffic, addr, &target.health_path).await;
    let is_serving = found.is_some();
    if let Some(found) = found {
        confirm_upstream(traffic, addr, found, target);
    }
    is_serving
}

/// Configuration of the local upstream that the probe needs.
struct ProbeTarget {
    service: ServiceName,
    health_path: String,
    slots: u32,
}

impl ProbeTarget {
    /// Returns the target for the upstream of a service; `None` if the configuration has no health check
    /// for it.
    fn of(traffic: &TrafficContext, service: ServiceName) -> Option<ProbeTarget> {
        let config = traffic.shared.snapshot.load().config.clone();
        let section = config.service(&service)?;
        let slots = section.max_connections.map(|max| (max / CONNECTIONS_PER_SLOT).max(1));
        Some(ProbeTarget {
            health_path: section.health_path.clone()?,
            slots: slots.unwrap_or(ASSUMED_SLOTS),
            service,
        })
    }
}

/// Upstream that responded to a health check as serving.
struct Found {
    instance: InstanceId,
    rate: RateSignal,
}

async fn probe(traffic: &TrafficContext, addr: SocketAddr, path: &str) -> Option<Found> {
    let mut req = Request::new(Full::new(Bytes::new()));
    *req.uri_mut() = path.parse().ok()?;
    req.headers_mut().insert(HOST, HeaderValue::from_str(&addr.to_string()).ok()?);
    let deadline = std::time::Instant::now() + PROBE_TIMEOUT;
    let options = ExchangeOptions {
        id: None,
        held: &traffic.held,
        max_bytes: MAX_RESPONSE_BYTES,
        allow_unframed: false,
        reuse: Reuse::Any,
    };
    let Ok(mut buffered) = exchange(&traffic.pool, addr, req, deadline, options).await else {
        log::info!(addr = addr.to_string(); "upstream did not respond to a health check");
        return None;
    };
    if let Some(connection) = buffered.connection.take() {
        traffic.pool.return_connection(connection);
    }
    let protocol = &traffic.shared.adapters.protocol;
    let signals = protocol.read_signals(&buffered.headers);
    let instance = protocol.read_health(buffered.status, &buffered.headers);
    let instance = instance.filter(|_| !signals.leaving);
    if instance.is_none() {
        let status = buffered.status.as_u16();
        log::info!(
            addr = addr.to_string(),
            status;
            "health check response does not show that the upstream is serving"
        );
    }
    instance.map(|instance| Found { instance, rate: signals.rate })
}

fn confirm_upstream(
    traffic: &TrafficContext,
    addr: SocketAddr,
    found: Found,
    target: &ProbeTarget,
) {
    let now = traffic.shared.clock.now();
    let upstream = UpstreamInfo {
        service: target.service.clone(),
        slots: target.slots,
        state: UpstreamState::Serving,
    };
    let announcement = Announcement {
        upstream,
        addr,
        connections: u32::MAX,
        start: UNKNOWN_PROCESS_START,
        ttl_ms: DISCOVERED_TTL_MS,
        instance: Some(found.instance),
        sequence: 0,
        cold_ms: 0,
    };
    let info = {
        let mut host = traffic.shared.host();
        let was_unknown = !host.has_upstream();
        let info = host.confirm_upstream(now, &announcement);
        if let RateSignal::Named(limit) = found.rate
            && was_unknown
        {
            host.record_rate_limit(now, limit);
        }
        info
    };
    traffic.shared.control().set_upstream(now, info);
}
