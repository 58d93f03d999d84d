//! Nodes that start together find each other.

use std::net::SocketAddr;
use std::time::Duration;

use snipehollow_core::ids::{HostName, Incarnation, RegionName, ServiceName, ZoneName};
use snipehollow_core::membership::{
    Directory, DirectoryConfig, GossipedMember, HostInfo, MemberAction, Membership,
    MembershipConfig,
};
use snipehollow_core::rng::Rng;
use snipehollow_core::time::Timestamp;

fn addr(i: u16) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 7_000 + i))
}

fn node(i: u16, seeds: &[u16]) -> Membership {
    let info = HostInfo {
        peer: addr(100 + i),
        control: addr(i),
        zone: ZoneName::new("z").unwrap(),
        region: RegionName::new("r").unwrap(),
        upstream: None,
    };
    let seeds = seeds.iter().map(|i| addr(*i)).collect();
    let host = HostName::new(&format!("h{i}")).unwrap();
    Membership::new(MembershipConfig::new(), host, Incarnation(1), info, seeds)
}

/// Returns the addresses that a node synchronizes with until a time.
fn syncs(node: &mut Membership, until: Duration) -> Vec<SocketAddr> {
    let mut rng = Rng::new(1);
    let mut found = Vec::new();
    let mut now = Timestamp::ZERO;
    while now < Timestamp::ZERO + until {
        now = now + Duration::from_millis(100);
        for action in node.tick(now, &mut rng) {
            if let MemberAction::Sync { with } = action {
                found.push(with);
            }
        }
    }
    found
}

#[test]
fn membership_pairs_that_met_first_join_within_seconds() {
    // All four were listed before a loss of power; 0 and 1 found each other first.
    let mut node = node(0, &[0, 1, 2, 3]);
    let other = self::node(1, &[]);
    let own = other.get(other.host()).unwrap().update.clone();
    node.on_sync_request(Timestamp::ZERO, &GossipedMember::from_update(&own));
    let found = syncs(&mut node, Duration::from_secs(4));
    assert!(found.contains(&addr(2)) || found.contains(&addr(3)), "{found:?}");
    assert!(!found.contains(&addr(1)), "{found:?}");
}

#[test]
fn membership_settled_node_seldom_contacts_seeds() {
    let mut node = node(0, &[0, 1, 2, 3]);
    let other = self::node(1, &[]);
    let own = other.get(other.host()).unwrap().update.clone();
    node.on_sync_request(Timestamp::ZERO, &GossipedMember::from_update(&own));
    let early = syncs(&mut node, Duration::from_secs(20)).len();
    assert!(early < 25, "{early}");
}

/// After a loss of power a whole zone starts at once, with the seeds listed before.
#[test]
fn membership_of_a_zone_that_starts_at_once_is_whole_within_a_second() {
    for seed in 0..20 {
        let mut nodes: Vec<Membership> = (0..8).map(|i| node(i, &[0, 1, 2, 3, 4, 5])).collect();
        let mut rng = Rng::new(seed);
        let mut now = Timestamp::ZERO;
        while now < Timestamp::from_millis(1_000) {
            now = now + Duration::from_millis(100);
            for i in 0..nodes.len() {
                for action in nodes[i].tick(now, &mut rng) {
                    match action {
                        MemberAction::Sync { with } => synchronize(&mut nodes, i, index(with), now),
                        MemberAction::Probe { probe, to } => {
                            let message = nodes[i].message(1);
                            nodes[index(to)].on_message(now, &message);
                            let answer = nodes[index(to)].message(1);
                            nodes[i].on_probe_response(now, probe, &answer);
                        }
                        _ => {}
                    }
                }
            }
        }
        let known: Vec<usize> = nodes.iter().map(Membership::live_count).collect();
        assert!(known.iter().all(|count| *count == 8), "seed {seed}: {known:?}");
    }
}

fn index(addr: SocketAddr) -> usize {
    usize::from(addr.port() - 7_000)
}

fn synchronize(nodes: &mut [Membership], from: usize, with: usize, now: Timestamp) {
    let own = nodes[from].get(nodes[from].host()).unwrap().update.clone();
    nodes[with].on_sync_request(now, &GossipedMember::from_update(&own));
    let answer = nodes[with].sync_response(&nodes[from].digests().clone());
    nodes[from].on_sync_response(now, &answer);
}

#[test]
fn directory_first_pulls_come_quickly_and_later_ones_seldom() {
    let mut directory = Directory::new(DirectoryConfig::new());
    let zone = ZoneName::new("other").unwrap();
    directory.add_contacts(&zone, true, &[addr(1)]);
    directory.record_call(Timestamp::ZERO, &ServiceName::new("orders").unwrap());
    let mut pulls = |from_ms: u64, until_ms: u64| {
        let mut count = 0;
        for at in (from_ms..until_ms).step_by(100) {
            count += directory.tick(Timestamp::from_millis(at)).len();
        }
        count
    };
    assert!(pulls(0, 1_000) >= 4);
    assert!(pulls(1_000, 5_000) <= 8);
    assert!(pulls(5_000, 20_000) <= 3);
}
