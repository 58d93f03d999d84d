//! Tests that nodes which start together find each other, and that a directory pulls often only
//! at first.

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

/// Ticks a node every 100 ms for this duration and returns the addresses it synchronizes with.
fn sync_targets(node: &mut Membership, until: Duration) -> Vec<SocketAddr> {
    let mut rng = Rng::new(1);
    let mut targets = Vec::new();
    let mut now = Timestamp::ZERO;
    while now < Timestamp::ZERO + until {
        now = now + Duration::from_millis(100);
        for action in node.tick(now, &mut rng) {
            if let MemberAction::Sync { with } = action {
                targets.push(with);
            }
        }
    }
    targets
}

/// Nodes that start together after a power loss may first form separate pairs. All four nodes are
/// seeds here. Nodes 0 and 1 know each other, so node 0 must soon contact node 2 or 3.
#[test]
fn membership_of_separate_pairs_merges_within_seconds() {
    let mut node = node(0, &[0, 1, 2, 3]);
    let other = self::node(1, &[]);
    let own = other.get(other.host()).unwrap().update.clone();
    node.on_sync_request(Timestamp::ZERO, &GossipedMember::from_update(&own));
    let targets = sync_targets(&mut node, Duration::from_secs(4));
    assert!(targets.contains(&addr(2)) || targets.contains(&addr(3)), "{targets:?}");
    assert!(!targets.contains(&addr(1)), "{targets:?}");
}

#[test]
fn membership_of_a_settled_node_rarely_contacts_seeds() {
    let mut node = node(0, &[0, 1, 2, 3]);
    let other = self::node(1, &[]);
    let own = other.get(other.host()).unwrap().update.clone();
    node.on_sync_request(Timestamp::ZERO, &GossipedMember::from_update(&own));
    let count = sync_targets(&mut node, Duration::from_secs(20)).len();
    assert!(count < 25, "{count}");
}

/// After a power loss, all nodes of a zone start at once with the seed list from before. Each must
/// know all 8 members within a second, since until then it refuses requests that others could
/// serve.
#[test]
fn membership_of_a_zone_that_starts_at_once_is_complete_within_a_second() {
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
                            let response = nodes[index(to)].message(1);
                            nodes[i].on_probe_response(now, probe, &response);
                        }
                        _ => {}
                    }
                }
            }
        }
        let live_counts: Vec<usize> = nodes.iter().map(Membership::live_count).collect();
        assert!(live_counts.iter().all(|count| *count == 8), "seed {seed}: {live_counts:?}");
    }
}

/// Returns the index of the node with this control address.
fn index(addr: SocketAddr) -> usize {
    usize::from(addr.port() - 7_000)
}

/// Runs one synchronization that node `from` requests from node `with`.
fn synchronize(nodes: &mut [Membership], from: usize, with: usize, now: Timestamp) {
    let own = nodes[from].get(nodes[from].host()).unwrap().update.clone();
    nodes[with].on_sync_request(now, &GossipedMember::from_update(&own));
    let response = nodes[with].sync_response(&nodes[from].digests().clone());
    nodes[from].on_sync_response(now, &response);
}

#[test]
fn directory_pulls_often_at_first_and_rarely_later() {
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
