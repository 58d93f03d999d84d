//! HTTP server for operators: metrics, state dump, explain, drain, quarantine.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use rouille::{Request, Response, Server};
use serde::Serialize;
use snipehollow_core::ids::{Fingerprint, RequestId, ServiceName};
use snipehollow_wire::admin::{Explanation, NodeRow, NodeState};

use crate::NodeError;
use crate::shared::Shared;
use crate::supervisor::Child;

/// How often the server checks whether the process is stopping.
const STOP_POLL_INTERVAL: Duration = Duration::from_millis(100);
/// Number of threads that handle requests; operators send few.
const SERVER_THREADS: usize = 2;

/// Child of the supervisor that runs the operators' HTTP server.
pub(crate) struct AdminServer;

impl Child for AdminServer {
    fn name(&self) -> &'static str {
        "admin"
    }

    fn run(&self, shared: &Arc<Shared>) -> Result<(), NodeError> {
        serve(shared, "admin", shared.settings.admin, handle)
    }
}

/// Serves HTTP requests at `addr` until the process stops.
///
/// `listener` names the address in the error if it cannot be bound.
pub(crate) fn serve(
    shared: &Arc<Shared>,
    listener: &'static str,
    addr: SocketAddr,
    handle: fn(&Arc<Shared>, &Request) -> Response,
) -> Result<(), NodeError> {
    let handler = {
        let shared = Arc::clone(shared);
        move |req: &Request| handle(&shared, req)
    };
    let server = Server::new(addr, handler)
        .map_err(|err| NodeError::Listen { listener, addr, cause: err.to_string() })?
        .pool_size(SERVER_THREADS);
    while !shared.is_stopping() {
        server.poll_timeout(STOP_POLL_INTERVAL);
    }
    Ok(())
}

fn handle(shared: &Arc<Shared>, req: &Request) -> Response {
    let url = req.url();
    let path: Vec<&str> = url.trim_matches('/').split('/').collect();
    match (req.method(), path.as_slice()) {
        ("GET", ["metrics"]) => Response::text(shared.metrics.encode()),
        ("GET", ["state"]) => Response::json(&state(shared)),
        ("GET", ["nodes"]) => Response::json(&nodes(shared)),
        ("GET", ["healthz"]) => healthz(shared),
        ("GET", ["explain", id]) => explain(shared, id),
        ("POST", ["drain"]) => drain(shared),
        ("GET", ["quarantine"]) => {
            Response::json(&shared.host().quarantine_list(shared.clock.now()))
        }
        ("POST", ["quarantine", "lift", service, fingerprint]) => {
            lift(shared, service, fingerprint)
        }
        _ => not_found(),
    }
}

#[derive(Serialize)]
struct Done {
    done: bool,
}

fn not_found() -> Response {
    Response::json(&Done { done: false }).with_status_code(404)
}

fn healthz(shared: &Shared) -> Response {
    let ready = shared.is_ready();
    let status = if ready { 200 } else { 503 };
    Response::json(&Done { done: ready }).with_status_code(status)
}

fn state(shared: &Shared) -> NodeState {
    let now = shared.clock.now();
    let settings = &shared.settings;
    let control = shared.control();
    let mut members: Vec<_> = control.membership.members().map(|m| m.update.clone()).collect();
    members.sort_by(|a, b| a.host.cmp(&b.host));
    let host = shared.host();
    NodeState {
        host: settings.host.clone(),
        zone: settings.zone.clone(),
        region: settings.region.clone(),
        uptime_ms: now.as_micros() / 1_000,
        revision: control.config().revision(),
        draining: shared.is_draining(),
        store_reachable: control.store_reachable,
        entering: shared.caller_requests.get(),
        gate: host.gate_state(),
        members,
        routes: host.routes(now),
        quarantine: host.quarantine_list(now),
        ticket_answer_bytes: host.ticket_response_bytes() as u64,
        traced_requests: host.traced_requests() as u32,
    }
}

fn nodes(shared: &Shared) -> Vec<NodeRow> {
    let control = shared.control();
    let mut rows: Vec<NodeRow> = control
        .membership
        .members()
        .map(|member| NodeRow {
            host: member.update.host.clone(),
            zone: member.update.info.zone.clone(),
            state: member.update.state,
            upstream: member.update.info.upstream.clone(),
        })
        .collect();
    rows.sort_by(|a, b| a.host.cmp(&b.host));
    rows
}

fn explain(shared: &Shared, id: &str) -> Response {
    let Ok(request) = RequestId::new(id) else {
        return not_found();
    };
    let steps = shared.host().explain(&request);
    Response::json(&Explanation { request, host: shared.settings.host.clone(), steps })
}

fn drain(shared: &Shared) -> Response {
    shared.drain();
    shared.refuse_callers();
    Response::json(&Done { done: true })
}

fn lift(shared: &Shared, service: &str, fingerprint: &str) -> Response {
    let service = ServiceName::new(service);
    let fingerprint = u128::from_str_radix(fingerprint, 16).map(Fingerprint);
    let (Ok(service), Ok(fingerprint)) = (service, fingerprint) else {
        return not_found();
    };
    let done = shared.host().lift_quarantine(shared.clock.now(), &service, fingerprint);
    Response::json(&Done { done }).with_status_code(if done { 200 } else { 404 })
}
