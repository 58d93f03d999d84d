//! Rate limits that upstreams name in their responses, and upstreams that say they are leaving.

use std::net::SocketAddr;
use std::thread;
use std::time::{Duration, Instant};

use snipehollow_standins::load::{LoadConfig, Phase, RequestKind};
use snipehollow_standins::mesh::Mesh;
use snipehollow_standins::upstream::Behaviour;

use crate::support::{Caller, LIMIT, small_mesh, small_mesh_with};

/// Rate limit that the tests name, in requests per second.
const RATE: u32 = 2;
/// Time in which arrivals are counted.
const WINDOW: Duration = Duration::from_secs(4);
/// Requests that may arrive at a limited upstream in [`WINDOW`]: one and a half times what the
/// limit allows, and five.
const ALLOWED: u64 = RATE as u64 * WINDOW.as_secs() * 3 / 2 + 5;

fn started(mesh: &Mesh, host: usize) -> u64 {
    mesh.upstream_stats(&mesh.plan.hosts[host]).unwrap().started
}

/// Reads of `pricing`, far beyond what the limited upstreams accept.
fn reads(targets: Vec<SocketAddr>, length: Duration) -> LoadConfig {
    LoadConfig {
        targets,
        phases: vec![Phase { rate: 200.0, duration: length }],
        kinds: RequestKind::parse("read,GET,/pricing/quote,1,2000").into_iter().collect(),
        immediate_retries: 0,
        seed: 7,
    }
}

fn hosts_of(mesh: &Mesh, service: &str) -> Vec<usize> {
    let hosts = mesh.plan.hosts.iter().enumerate();
    hosts.filter(|(_, host)| host.name.starts_with(service)).map(|(index, _)| index).collect()
}

/// Sets the behaviour of all upstreams of `pricing`.
fn set_all(mesh: &Mesh, behaviour: &Behaviour) {
    for host in hosts_of(mesh, "pricing") {
        mesh.set_behaviour(&mesh.plan.hosts[host], behaviour).unwrap();
    }
}

/// Time from the start of a load to the start of [`WINDOW`].
const WARM_UP: Duration = Duration::from_millis(500);

/// Returns the number of requests that arrive at each upstream of `pricing` in [`WINDOW`], which
/// begins `warm_up` after the start of a load at all nodes of `orders`.
fn arrivals(mesh: &Mesh, warm_up: Duration) -> Vec<u64> {
    let pricing = hosts_of(mesh, "pricing");
    let entries =
        hosts_of(mesh, "orders").iter().map(|host| mesh.plan.hosts[*host].caller_addr()).collect();
    let load = reads(entries, warm_up * 2 + WINDOW);
    let counts = || pricing.iter().map(|host| started(mesh, *host)).collect::<Vec<_>>();
    let mut before = counts();
    let runner = thread::spawn(move || Caller::new().load(&load));
    if !warm_up.is_zero() {
        thread::sleep(warm_up);
        before = counts();
    }
    thread::sleep(WINDOW);
    let arrived = counts().into_iter().zip(before).map(|(after, before)| after - before).collect();
    runner.join().unwrap();
    arrived
}

/// Guards against upstreams that get more requests than the limit which they name, summed over all
/// entry nodes, and against a limit that outlasts the last response which names it.
#[test]
fn named_rate_limit_bounds_the_requests_of_all_entry_nodes() {
    let mesh = small_mesh();
    let limited = Behaviour { rate_limit_milli: RATE * 1_000, ..Behaviour::normal() };
    set_all(&mesh, &limited);
    for arrived in arrivals(&mesh, WARM_UP) {
        assert!(arrived <= ALLOWED, "{arrived} requests in {WINDOW:?}, {ALLOWED} allowed");
        assert!(arrived >= u64::from(RATE), "{arrived} requests in {WINDOW:?}: hardly used");
    }
    set_all(&mesh, &Behaviour::normal());
    thread::sleep(Duration::from_secs(3));
    let arrived = arrivals(&mesh, WARM_UP);
    // The load sends 200 requests a second. For some seconds an entry node may prefer hosts at
    // which requests had to wait less, so their shares are not checked.
    let total: u64 = arrived.iter().sum();
    assert!(total > 700, "{total} requests in {WINDOW:?} after the limits have ended");
    for (host, arrived) in hosts_of(&mesh, "pricing").into_iter().zip(arrived) {
        let gate = mesh.state(&mesh.plan.hosts[host]).unwrap().gate.unwrap();
        assert!(arrived == 0 || gate.rate_limit_milli.is_none(), "{gate:?} after {arrived}");
    }
}

/// Guards against a restarted node that forgets the limit of its upstream, while the entry nodes
/// that passed on responses naming it keep sending requests.
#[test]
fn restarted_node_keeps_to_the_rate_limit_that_entry_nodes_know() {
    let mut mesh = small_mesh_with("admission = slots\n");
    // The first responses come a second after the restart, when all slots may be taken already.
    let limited = Behaviour {
        rate_limit_milli: RATE * 1_000,
        service_time_percent: 20_000,
        ..Behaviour::normal()
    };
    set_all(&mesh, &limited);
    arrivals(&mesh, WARM_UP);
    for host in hosts_of(&mesh, "pricing") {
        mesh.node(host).unwrap().kill();
        mesh.start_node(host).unwrap();
    }
    mesh.wait_ready(1).unwrap();
    for arrived in arrivals(&mesh, Duration::ZERO) {
        assert!(arrived <= ALLOWED, "{arrived} requests in {WINDOW:?}, {ALLOWED} allowed");
    }
}

/// Guards against requests that reach an upstream after a response of it has said that it is
/// leaving, even though its announcements still say that it serves.
#[test]
fn upstream_that_says_it_is_leaving_gets_no_new_requests() {
    let mut mesh = small_mesh();
    let leaving = Behaviour { says_leaving: true, ..Behaviour::normal() };
    let victim = hosts_of(&mesh, "pricing")[0];
    let caller = Caller::new();
    let entry_host = mesh.plan.hosts[hosts_of(&mesh, "orders")[0]].clone();
    let entry = entry_host.caller_addr();
    // Until the entry node knows another upstream of the service, it has nowhere else to send to.
    mesh.wait_until("the entry node knows all upstreams of the service", LIMIT, || {
        // The routes are those of the last request; whether it succeeds does not matter yet.
        caller.get(entry, "/pricing/quote");
        let routes = mesh.state(&entry_host).unwrap().routes;
        let known = routes.iter().filter(|route| route.service.as_str() == "pricing").count();
        known == hosts_of(&mesh, "pricing").len()
    })
    .unwrap();
    mesh.set_behaviour(&mesh.plan.hosts[victim], &leaving).unwrap();
    let before = started(&mesh, victim);
    let deadline = Instant::now() + LIMIT;
    while started(&mesh, victim) == before {
        assert!(Instant::now() < deadline, "no request reached the upstream");
        assert!(caller.get(entry, "/pricing/quote").is_ok());
    }
    let told = started(&mesh, victim);
    let read_often = |mesh: &Mesh| {
        for _ in 0..200 {
            assert!(caller.get(entry, "/pricing/quote").is_ok());
        }
        started(mesh, victim)
    };
    assert_eq!(read_often(&mesh), told, "requests reached the leaving upstream");
    mesh.node(victim).unwrap().kill();
    mesh.start_node(victim).unwrap();
    mesh.wait_ready(1).unwrap();
    assert_eq!(read_often(&mesh), told, "requests reached it after a restart of its node");
}
