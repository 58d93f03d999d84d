//! Planned stops and drains, which must not interrupt requests in progress.

use std::io::{Read, Write};
use std::net::TcpStream;
use std::thread;
use std::time::Duration;

use hyper::{HeaderMap, Method};
use rustix::process::Signal;
use snipehollow_core::outcome::Outcome;
use snipehollow_core::reason::Reason;
use snipehollow_standins::load::CallResult;
use snipehollow_standins::mesh::{Mesh, MeshPlan, PEER_SECRET, ServicePlan};
use snipehollow_standins::upstream::Behaviour;
use snipehollow_wire::headers;
use socket2::{Domain, Socket, Type};

use crate::support::{Caller, LIMIT, mixed_load, small_mesh};

/// Sheet of a mesh that runs the service `pricing` only.
const SHEET_OF_PRICING: &str = "\
kind,name,rank,deadline_ms,repeat,service,method,path,class\n\
class,read,1,8000,may-repeat,,,,\n\
service,pricing,,,,,,,\n\
rule,,,,,pricing,*,/,read\n";

/// Guards against requests that are cut off, or sent to a node that is shutting down, when a node
/// is stopped under load.
#[test]
fn sigterm_under_load_fails_no_request() {
    let mut mesh = small_mesh();
    let entries: Vec<_> = mesh.plan.hosts.iter().skip(1).map(|host| host.caller_addr()).collect();
    let load = mixed_load(entries, 100.0, 4);
    let runner = thread::spawn(move || Caller::new().load(&load));
    thread::sleep(Duration::from_secs(1));
    mesh.node(0).unwrap().signal(Signal::TERM);
    let status = mesh.node(0).unwrap().wait(LIMIT).unwrap();
    assert_eq!(status.code(), Some(0));
    let report = runner.join().unwrap();
    for (name, kind) in &report.kinds {
        assert_eq!(kind.unknown, 0, "{name}: requests with an unknown outcome: {:?}", kind.reasons);
        assert_eq!(
            kind.good, kind.requests,
            "{name}: not all requests succeeded in time: {:?}",
            kind.reasons
        );
    }
}

/// Guards against a response that is cut off because the node ends while its caller still reads it.
#[test]
fn slowly_read_response_is_whole_after_sigterm() {
    let mut service = ServicePlan::new("pricing", 1, 4, 1);
    service.response_bytes = 6 << 20;
    let plan = MeshPlan::new(&[("zone-a", "region-a")], vec![service]);
    let mut mesh = Mesh::start(plan, &Mesh::find_bin_dir().unwrap()).unwrap();
    assert!(mesh.apply_sheet(SHEET_OF_PRICING).unwrap().status.success());
    mesh.wait_ready(1).unwrap();
    let to = mesh.plan.hosts[0].caller_addr();
    let socket = Socket::new(Domain::IPV4, Type::STREAM, None).unwrap();
    // A small buffer leaves most of the response at the node.
    socket.set_recv_buffer_size(8_192).unwrap();
    socket.connect(&to.into()).unwrap();
    let mut stream = TcpStream::from(socket);
    stream.set_read_timeout(Some(LIMIT)).unwrap();
    stream
        .write_all(b"GET /pricing/quote HTTP/1.1\r\nhost: h\r\nconnection: close\r\n\r\n")
        .unwrap();
    let mut start = [0; 1_000];
    stream.read_exact(&mut start).unwrap();
    assert!(start.starts_with(b"HTTP/1.1 200"), "{}", String::from_utf8_lossy(&start));
    mesh.node(0).unwrap().signal(Signal::TERM);
    // Longer than the node serves callers after the signal.
    thread::sleep(Duration::from_secs(3));
    let mut rest = Vec::new();
    stream.read_to_end(&mut rest).unwrap();
    assert!(start.len() + rest.len() > 6 << 20, "cut off after {} bytes", rest.len());
    assert_eq!(mesh.node(0).unwrap().wait(LIMIT).unwrap().code(), Some(0));
}

/// Number of requests that wait for a slot when their entry node stops, before and after SIGTERM.
const WAITING: usize = 10;
/// Sheet of a mesh that runs the services `orders` and `pricing`.
const SHEET_OF_BOTH: &str = "\
kind,name,rank,deadline_ms,repeat,service,method,path,class\n\
class,read,1,20000,may-repeat,,,,\n\
service,orders,,,,,,,\n\
service,pricing,,,,,,,\n\
rule,,,,,orders,*,/,read\n\
rule,,,,,pricing,*,/,read\n";

/// Starts a mesh of two hosts with these lines in section `[run]`, and returns it with the index of the
/// host that does not run `pricing`, whose callers' requests for it go to the other host.
fn mesh_with_entry_node(pricing: ServicePlan, run_settings: &str) -> (Mesh, usize) {
    let services = vec![ServicePlan::new("orders", 1, 4, 1), pricing];
    let mut plan = MeshPlan::new(&[("zone-a", "region-a")], services);
    plan.run_settings.push_str(run_settings);
    plan.run_settings.push_str("admission = slots\n");
    let mesh = Mesh::start(plan, &Mesh::find_bin_dir().unwrap()).unwrap();
    assert!(mesh.apply_sheet(SHEET_OF_BOTH).unwrap().status.success());
    mesh.wait_ready(1).unwrap();
    let entry = mesh.plan.hosts.iter().position(|host| host.name == "orders-1").unwrap();
    (mesh, entry)
}

/// Guards against requests that wait for a slot of another host, and are cut off without an answer
/// when their entry node ends.
#[test]
fn requests_that_wait_at_another_host_are_answered_before_their_entry_node_ends() {
    let (mut mesh, entry) = mesh_with_entry_node(
        ServicePlan::new("pricing", 1, 4, 700),
        "drain_ms = 4000\nleave_notice_ms = 2500\n",
    );
    let to = mesh.plan.hosts[entry].caller_addr();
    // The gate learns how long a request takes.
    assert!(Caller::new().get(to, "/pricing/quote").is_ok());
    let send = |count| -> Vec<_> {
        (0..count).map(|_| thread::spawn(move || Caller::new().get(to, "/pricing/quote"))).collect()
    };
    let before = send(WAITING);
    thread::sleep(Duration::from_millis(300));
    mesh.node(entry).unwrap().signal(Signal::TERM);
    thread::sleep(Duration::from_millis(200));
    let after = send(WAITING);
    let results: Vec<_> =
        before.into_iter().chain(after).map(|sent| sent.join().unwrap()).collect();
    assert_eq!(mesh.node(entry).unwrap().wait(LIMIT).unwrap().code(), Some(0));
    let ran = results.iter().filter(|result| result.is_ok()).count();
    let refused = |result: &CallResult| result.outcome == Some(Outcome::NotRun);
    assert!(results.iter().all(|result| result.is_ok() || refused(result)), "{results:#?}");
    assert!(ran >= 4, "only {ran} of the requests ran while there was time");
}

/// Guards against a request that a stopping node takes late and passes on, though it takes longer than
/// the node runs, and that is cut off when the node ends.
#[test]
fn late_request_that_outlasts_its_stopping_entry_node_is_refused() {
    let (mut mesh, entry) = mesh_with_entry_node(
        ServicePlan::new("pricing", 1, 8, 900),
        "drain_ms = 3000\nleave_notice_ms = 2800\n",
    );
    let to = mesh.plan.hosts[entry].caller_addr();
    assert!(Caller::new().get(to, "/pricing/quote").is_ok());
    mesh.node(entry).unwrap().signal(Signal::TERM);
    let early = Caller::new().get(to, "/pricing/quote");
    assert!(early.is_ok(), "there is time for it: {early:?}");
    thread::sleep(Duration::from_millis(1_500));
    let late = Caller::new().get(to, "/pricing/quote");
    assert_eq!(late.outcome, Some(Outcome::NotRun), "{late:?}");
    assert_eq!(mesh.node(entry).unwrap().wait(LIMIT).unwrap().code(), Some(0));
}

/// Guards against requests that are still sent to an upstream after it announced that it is
/// leaving.
#[test]
fn leaving_upstream_gets_no_new_requests() {
    let mesh = small_mesh();
    let caller = Caller::new();
    let leaving = mesh.plan.hosts.iter().find(|host| host.name == "pricing-1").cloned().unwrap();
    let behaviour = Behaviour { leaving: true, ..Behaviour::normal() };
    mesh.set_behaviour(&leaving, &behaviour).unwrap();
    mesh.wait_until("the gate is leaving or removed", LIMIT, || {
        mesh.state(&leaving).is_ok_and(|state| state.gate.is_none_or(|gate| gate.leaving))
    })
    .unwrap();
    let before = mesh.upstream_stats(&leaving).map_or(0, |stats| stats.started);
    for _ in 0..20 {
        assert!(caller.get(leaving.caller_addr(), "/pricing/quote").is_ok());
    }
    let after = mesh.upstream_stats(&leaving).map_or(before, |stats| stats.started);
    assert_eq!(before, after, "a leaving upstream got new requests");
}

/// Guards against a drained host that accepts requests or fails them with an unknown outcome, which
/// would keep callers from retrying elsewhere.
#[test]
fn drained_host_refuses_requests_as_not_run() {
    let mesh = small_mesh();
    let host = mesh.plan.hosts[0].clone();
    let output = mesh.run_cli(&["drain", &host.name]).unwrap();
    assert!(output.status.success(), "drain failed: {}", String::from_utf8_lossy(&output.stderr));
    let refused = Caller::new().get(host.caller_addr(), "/pricing/quote");
    assert_eq!(refused.outcome, Some(Outcome::NotRun), "a drained host must refuse: {refused:?}");
    let elsewhere = Caller::new().get(mesh.plan.hosts[1].caller_addr(), "/orders/list");
    assert!(elsewhere.is_ok(), "another host must still serve: {elsewhere:?}");
}

/// Guards against a ticket of a host that will not run the request any more: the caller that presents
/// it may find no host, which makes the outcome unknown.
#[test]
fn draining_gate_issues_no_ticket() {
    let mesh = small_mesh();
    let host = mesh.plan.hosts.iter().find(|host| host.name == "orders-1").cloned().unwrap();
    let caller = Caller::new();
    let ask = || {
        let mut map = HeaderMap::new();
        for (name, value) in [
            (headers::SECRET, PEER_SECRET),
            (headers::ZONE, host.zone.as_str()),
            (headers::REQUEST_ID, "o-1"),
            (headers::CALLER, "branch"),
            (headers::CLASS, "order;0;10;never"),
            (headers::DEADLINE, "8000"),
            (headers::ALLOWANCE, "2"),
            (headers::ATTEMPT, "0"),
        ] {
            headers::set(&mut map, name, value);
        }
        caller.send(host.peer_addr(), &Method::POST, "/orders/new", map, "net")
    };
    assert!(ask().ticket.is_some(), "a serving host issues a ticket");
    let output = mesh.run_cli(&["drain", &host.name]).unwrap();
    assert!(output.status.success(), "drain failed: {}", String::from_utf8_lossy(&output.stderr));
    let refused = ask();
    assert_eq!(refused.ticket, None, "{refused:?}");
    assert_eq!(refused.outcome, Some(Outcome::NotRun), "{refused:?}");
    assert_eq!(refused.reason, Some(Reason::Leaving), "{refused:?}");
}

/// Guards against planned stops that leave a service without any host: both zones of `pricing` are
/// stopped in the hour from 01:00 to 02:00.
#[test]
fn sheet_whose_stops_leave_a_service_without_hosts_is_refused() {
    let mesh = small_mesh();
    let sheet = "\
kind,name,rank,deadline_ms,repeat,service,method,path,class,zone,starts,ends\n\
class,read,1,8000,may-repeat,,,,,,,\n\
service,pricing,,,,,,,,,,\n\
rule,,,,,pricing,*,/,read,,,\n\
stop,,,,,,,,,zone-a,2030-01-01T00:00:00Z,2030-01-01T02:00:00Z\n\
stop,,,,,,,,,zone-b,2030-01-01T01:00:00Z,2030-01-01T03:00:00Z\n";
    let path = mesh.dir().join("stops.csv");
    std::fs::write(&path, sheet).unwrap();
    let output = mesh.run_cli(&["sheet", "apply", &path.to_string_lossy()]).unwrap();
    let text = String::from_utf8_lossy(&output.stderr).into_owned();
    assert_eq!(output.status.code(), Some(2), "{text}");
    assert!(text.contains("row 6"), "{text}");
    assert!(text.contains("rows 5 leave no host of service pricing"), "{text}");
}

/// Guards against a planned stop in the sheet that the host ignores: its gate must refuse new
/// requests while the host's caller listener still serves through other hosts.
#[test]
fn planned_stop_of_a_host_takes_effect() {
    let mesh = small_mesh();
    let sheet = crate::support::SHEET
        .replace("class,refusals\n", "class,refusals,host,starts,ends\n")
        + "stop,,,,,,,,,,,,pricing-1,2020-01-01T00:00:00Z,2090-01-01T00:00:00Z\n";
    let applied = mesh.apply_sheet(&sheet).unwrap();
    assert!(
        applied.status.success(),
        "the sheet was not applied: {}",
        String::from_utf8_lossy(&applied.stderr)
    );
    let host = mesh.plan.hosts.iter().find(|host| host.name == "pricing-1").cloned().unwrap();
    mesh.wait_until("the planned stop takes effect", LIMIT, || {
        mesh.state(&host).is_ok_and(|state| state.gate.is_none_or(|gate| gate.leaving))
    })
    .unwrap();
    assert!(Caller::new().get(host.caller_addr(), "/pricing/quote").is_ok());
}
