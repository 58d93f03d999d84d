//! Kills, pauses, crashes and partitions.

use std::thread;
use std::time::Duration;

use rustix::process::Signal;
use snipehollow_core::membership::MemberState;
use snipehollow_core::outcome::Outcome;
use snipehollow_core::reason::Reason;
use snipehollow_standins::upstream::{Behaviour, CRASH_MARKER};

use crate::support::{Caller, LIMIT, duplicates, mesh_of, mixed_load, small_mesh};

#[test]
fn failures_killed_host_is_routed_around() {
    let mut mesh = small_mesh();
    let caller = Caller::new();
    let victim = mesh.plan.hosts.iter().position(|host| host.name == "pricing-1").unwrap();
    mesh.kill_host(victim);
    let entries: Vec<_> = mesh
        .plan
        .hosts
        .iter()
        .enumerate()
        .filter(|(index, _)| *index != victim)
        .map(|(_, host)| host.caller_addr())
        .collect();
    for _ in 0..5 {
        for entry in &entries {
            let result = caller.get(*entry, "/pricing/quote");
            assert!(result.is_ok(), "{result:?}");
        }
    }
    let name = mesh.plan.hosts[victim].name.clone();
    let neighbour = mesh.plan.hosts[victim + 2].clone();
    mesh.wait_until("the dead host is known as dead", LIMIT, || {
        let state = mesh.state(&neighbour);
        state.is_ok_and(|state| {
            state.members.iter().any(|m| m.host.as_str() == name && m.state == MemberState::Dead)
        })
    })
    .unwrap();
}

#[test]
fn failures_host_comes_back_under_its_name() {
    let mut mesh = small_mesh();
    let victim = 0;
    mesh.kill_host(victim);
    mesh.start_node(victim).unwrap();
    mesh.start_upstream(victim).unwrap();
    mesh.wait_ready(1).unwrap();
    let entry = mesh.plan.hosts[victim].caller_addr();
    assert!(Caller::new().get(entry, "/orders/list").is_ok());
}

#[test]
fn failures_ticket_of_a_killed_node_is_never_run_again() {
    let mut mesh = small_mesh();
    let caller = Caller::new();
    let entry = mesh.plan.hosts[0].caller_addr();
    let ticket = caller.ticket(entry);
    assert!(caller.order(entry, "net", Some(&ticket)).is_ok());
    let holder = ticket.split('~').next().unwrap().to_owned();
    let holder = mesh.plan.hosts.iter().position(|host| host.name == holder).unwrap();
    let entry = mesh.plan.hosts[(holder + 1) % mesh.plan.hosts.len()].caller_addr();
    mesh.node(holder).unwrap().kill();
    let cut_off = caller.order(entry, "net", Some(&ticket));
    assert_eq!(cut_off.outcome, Some(Outcome::Unknown), "{cut_off:?}");
    mesh.start_node(holder).unwrap();
    mesh.wait_ready(1).unwrap();
    mesh.wait_until("the new start is asked about the ticket", LIMIT, || {
        let lost = caller.order(entry, "net", Some(&ticket));
        assert_eq!(lost.outcome, Some(Outcome::Unknown), "{lost:?}");
        lost.reason == Some(Reason::TicketLost)
    })
    .unwrap();
    assert_eq!(duplicates(&mesh), 0);
}

#[test]
fn failures_paused_node_comes_back() {
    let mut mesh = small_mesh();
    let paused = 1;
    let name = mesh.plan.hosts[paused].name.clone();
    let zone = mesh.plan.hosts[paused].zone.clone();
    let neighbour = mesh
        .plan
        .hosts
        .iter()
        .find(|host| host.zone == zone && host.name != name)
        .cloned()
        .unwrap();
    let holds = |mesh: &snipehollow_standins::mesh::Mesh, wanted: MemberState| {
        mesh.state(&neighbour).is_ok_and(|state| {
            state.members.iter().any(|m| m.host.as_str() == name && m.state == wanted)
        })
    };
    mesh.node(paused).unwrap().signal(Signal::STOP);
    mesh.wait_until("the paused node is held dead", LIMIT, || holds(&mesh, MemberState::Dead))
        .unwrap();
    mesh.node(paused).unwrap().signal(Signal::CONT);
    mesh.wait_until("the node is alive again", LIMIT, || holds(&mesh, MemberState::Alive)).unwrap();
    mesh.wait_ready(1).unwrap();
    assert!(Caller::new().get(mesh.plan.hosts[paused].caller_addr(), "/pricing/quote").is_ok());
}

#[test]
fn failures_poison_request_is_quarantined() {
    let mut mesh = small_mesh();
    let caller = Caller::new();
    let path = format!("/pricing/{CRASH_MARKER}");
    let entry = mesh.plan.hosts[0].caller_addr();
    let mut quarantined = false;
    for _ in 0..20 {
        let result = caller.get(entry, &path);
        assert!(!result.is_ok());
        // A first try may have run before a second one was refused; then it says so.
        if result.reason == Some(Reason::Quarantined) && result.outcome == Some(Outcome::NotRun) {
            quarantined = true;
            break;
        }
        restart_dead_upstreams(&mut mesh);
    }
    assert!(quarantined, "the request crashes upstreams for ever");
    assert!(caller.get(entry, "/pricing/quote").is_ok(), "a bystander is refused");
    let listed = mesh.run_cli(&["quarantine", "list"]).unwrap();
    assert!(String::from_utf8_lossy(&listed.stdout).contains("quarantined"));
}

fn restart_dead_upstreams(mesh: &mut snipehollow_standins::mesh::Mesh) {
    for host in 0..mesh.plan.hosts.len() {
        let plan = mesh.plan.hosts[host].clone();
        if mesh.upstream_stats(&plan).is_err() {
            mesh.start_upstream(host).unwrap();
        }
    }
    mesh.wait_ready(1).unwrap();
}

#[test]
fn failures_upstream_that_fails_fast_is_not_loved() {
    let mesh = mesh_of(&[("zone-a", "region-a")], 3);
    let broken = mesh.plan.hosts.iter().find(|host| host.name == "pricing-1").cloned().unwrap();
    let behaviour = Behaviour { service_time_percent: 100, failing: true, leaving: false };
    mesh.set_behaviour(&broken, &behaviour).unwrap();
    let caller = Caller::new();
    let entry = mesh.plan.hosts[0].caller_addr();
    let failed = (0..200).filter(|_| !caller.get(entry, "/pricing/quote").is_ok()).count();
    // An even spread over three hosts would fail a third.
    assert!(failed < 40, "{failed} of 200 went to the broken host");
}

#[test]
fn failures_partition_between_zones_heals() {
    let mut mesh = small_mesh();
    let caller = Caller::new();
    let cut: Vec<usize> =
        (0..mesh.plan.hosts.len()).filter(|host| mesh.plan.hosts[*host].zone == "zone-b").collect();
    for host in &cut {
        let settings = mesh.plan.settings(&mesh.plan.hosts[*host]);
        let settings = settings.replace("[zones]", "blocked = zone-a\n\n[zones]");
        mesh.node(*host).unwrap().kill();
        mesh.start_node_with_settings(*host, &settings).unwrap();
    }
    mesh.wait_ready(1).unwrap();
    for entry in mesh.plan.caller_addrs() {
        let result = caller.get(entry, "/orders/list");
        assert!(result.is_ok(), "{entry}: {result:?}");
    }
    for host in &cut {
        mesh.node(*host).unwrap().kill();
        mesh.start_node(*host).unwrap();
    }
    mesh.wait_ready(1).unwrap();
    assert!(caller.get(mesh.plan.hosts[cut[0]].caller_addr(), "/orders/list").is_ok());
}

#[test]
fn failures_kills_under_load_double_nothing() {
    let mut mesh = small_mesh();
    let entries: Vec<_> = mesh.plan.hosts.iter().skip(2).map(|host| host.caller_addr()).collect();
    let load = mixed_load(entries, 100.0, 6);
    let runner = thread::spawn(move || Caller::new().load(&load));
    for victim in [0, 1] {
        thread::sleep(Duration::from_secs(1));
        mesh.kill_host(victim);
        thread::sleep(Duration::from_secs(1));
        mesh.start_node(victim).unwrap();
        mesh.start_upstream(victim).unwrap();
    }
    let report = runner.join().unwrap();
    let orders = &report.kinds["order"];
    assert_eq!(orders.mismatched, 0);
    assert!(orders.good > 0);
    assert_eq!(duplicates(&mesh), 0);
}
