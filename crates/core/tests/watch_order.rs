//! Tests of the order in which the members of a zone watch the configuration.

use std::collections::BTreeSet;
use std::net::SocketAddr;

use snipehollow_core::ids::{HostName, Incarnation, RegionName, ZoneName};
use snipehollow_core::membership::{
    GossipedMember, HostInfo, Membership, MembershipConfig, WatchOrder,
};
use snipehollow_core::rng::Rng;
use snipehollow_core::time::Timestamp;

struct Node {
    membership: Membership,
    order: WatchOrder,
}

impl Node {
    fn is_watcher(&mut self) -> bool {
        self.order.is_watcher(&self.membership)
    }

    /// Checks the members ahead until one responds or this node is a watcher.
    fn check(&mut self, dead: &BTreeSet<HostName>) {
        let mut count = 1;
        loop {
            let ahead = self.order.predecessors(&self.membership, count);
            if ahead.is_empty() || ahead.iter().any(|member| !dead.contains(&member.host)) {
                return;
            }
            for member in ahead {
                assert!(self.order.record_failure(&member.host), "checked before");
            }
            count = 16;
        }
    }
}

/// Returns the nodes of a zone, who know each other, in the order in which they watch.
fn zone(size: u16) -> Vec<Node> {
    let mut nodes: Vec<Node> = (0..size).map(node).collect();
    let updates: Vec<GossipedMember> = nodes
        .iter()
        .map(|node| &node.membership)
        .map(|known| GossipedMember::from_update(&known.get(known.host()).unwrap().update))
        .collect();
    for node in &mut nodes {
        for update in &updates {
            node.membership.on_sync_request(Timestamp::ZERO, update);
        }
    }
    let order: Vec<HostName> = nodes[0]
        .membership
        .select_by_rendezvous("watch", usize::MAX)
        .into_iter()
        .cloned()
        .collect();
    nodes.sort_by_key(|node| order.iter().position(|host| host == node.membership.host()));
    nodes
}

fn node(i: u16) -> Node {
    let addr = |port| SocketAddr::from(([127, 0, 0, 1], port));
    let info = HostInfo {
        peer: addr(8_000 + i),
        control: addr(7_000 + i),
        zone: ZoneName::new("z").unwrap(),
        region: RegionName::new("r").unwrap(),
        upstream: None,
    };
    let host = HostName::new(&format!("h{i}")).unwrap();
    let membership =
        Membership::new(MembershipConfig::new(), host, Incarnation(1), info, Vec::new());
    Node { membership, order: WatchOrder::default() }
}

fn hosts(nodes: &[Node]) -> BTreeSet<HostName> {
    nodes.iter().map(|node| node.membership.host().clone()).collect()
}

#[test]
fn healthy_zone_has_two_watchers_and_each_other_member_checks_one() {
    let mut nodes = zone(9);
    let watchers: Vec<bool> = nodes.iter_mut().map(Node::is_watcher).collect();
    assert_eq!(watchers, [true, true, false, false, false, false, false, false, false]);
    for i in 0..nodes.len() {
        let before = i.checked_sub(1).map(|before| nodes[before].membership.host().clone());
        let node = &mut nodes[i];
        let checked = node.order.predecessors(&node.membership, 1);
        let expected = before.filter(|_| !watchers[i]);
        assert_eq!(checked.first().map(|member| &member.host), expected.as_ref());
    }
}

/// Guards against a zone that nobody watches because all watchers die at once, alone or with any
/// others, until the membership has declared them dead.
#[test]
fn first_survivor_watches_after_one_check_whoever_dies() {
    let mut rng = Rng::new(7);
    for size in [2, 4, 15, 40] {
        let mut deaths: Vec<BTreeSet<HostName>> =
            (2..size).map(|count| hosts(&zone(size)[..usize::from(count)])).collect();
        for _ in 0..20 {
            let any = zone(size).into_iter().filter(|_| rng.chance(0.5)).collect::<Vec<_>>();
            deaths.push(hosts(&any));
        }
        for dead in deaths {
            let mut survivors: Vec<Node> = zone(size)
                .into_iter()
                .filter(|node| !dead.contains(node.membership.host()))
                .collect();
            for node in &mut survivors {
                node.check(&dead);
            }
            let watchers: Vec<bool> = survivors.iter_mut().map(Node::is_watcher).collect();
            assert!(watchers.first().is_none_or(|first| *first), "{size} {dead:?} {watchers:?}");
        }
    }
}

/// Guards against members that stay watchers in place of one that only responded late.
#[test]
fn member_that_responds_again_takes_its_place_back() {
    let mut nodes = zone(4);
    let first = nodes[0].membership.host().clone();
    let third = &mut nodes[2];
    third.order.record_failure(&first);
    assert!(third.is_watcher());
    third.order.record_response(&first);
    assert!(!third.is_watcher());
}

/// Guards against watchers that the store turns away and that keep their place, while members that it
/// serves use an older configuration.
#[test]
fn watchers_without_the_store_are_replaced_until_it_is_back() {
    let mut nodes = zone(12);
    let hosts: Vec<HostName> = nodes.iter().map(|node| node.membership.host().clone()).collect();
    let lose = |nodes: &mut [Node], lost: &[usize], at: Timestamp| {
        let watchers = nodes.iter_mut().map(|node| {
            node.order.expire_losses(at);
            for i in lost {
                node.order.record_store_loss(at, &hosts[*i], true);
            }
            node.is_watcher()
        });
        watchers.enumerate().filter(|(_, watches)| *watches).map(|(i, _)| i).collect::<Vec<_>>()
    };
    let now = Timestamp::ZERO;
    assert_eq!(lose(&mut nodes, &[], now), [0, 1]);
    assert_eq!(lose(&mut nodes, &[1], now), [0, 1, 2, 3]);
    assert_eq!(lose(&mut nodes, &[0, 2], now), [0, 1, 2, 3, 4, 5, 6, 7]);
    // Without the store for all, calls to it stay bounded.
    let all: Vec<usize> = (0..12).collect();
    assert_eq!(lose(&mut nodes, &all, now), [0, 1, 2, 3, 4]);
    // The losses are not said again.
    assert_eq!(lose(&mut nodes, &[], Timestamp::from_millis(3_000)), [0, 1]);
    nodes[3].order.record_store_loss(now, &hosts[0], true);
    assert!(nodes[3].is_watcher());
    nodes[3].order.record_store_loss(now, &hosts[0], false);
    assert!(!nodes[3].is_watcher(), "it has the store back");
}

/// Guards against a loss of the store that the members who have to watch are not told of.
#[test]
fn successors_are_the_next_responsive_members() {
    let mut nodes = zone(5);
    let hosts: Vec<HostName> = nodes.iter().map(|node| node.membership.host().clone()).collect();
    let node = &mut nodes[1];
    node.order.record_failure(&hosts[2]);
    let next: Vec<HostName> =
        node.order.successors(&node.membership, 2).into_iter().map(|member| member.host).collect();
    assert_eq!(next, hosts[3..5]);
}
