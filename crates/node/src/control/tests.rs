//! Tests of what the members of a zone tell each other and other zones.

use std::net::{Ipv4Addr, TcpListener};
use std::sync::Arc;
use std::time::Duration;

use snipehollow_config::settings::NodeSettings;
use snipehollow_core::ids::{
    Fingerprint, HostName, Incarnation, InstanceId, ServiceName, ZoneName,
};
use snipehollow_core::membership::{DirectoryAction, GossipItem, RecordedDeparture};
use snipehollow_core::quarantine::QuarantineEntry;
use snipehollow_core::time::Timestamp;

use super::{ControlState, rpc_server, thread};
use crate::adapters::Adapters;
use crate::clock::unix_millis;
use crate::shared::Shared;

fn settings(name: &str, zone: &str, control: &str) -> NodeSettings {
    let settings = format!(
        "[host]\nname = {name}\nzone = {zone}\nregion = r1\n[listen]\ncaller = 127.0.0.1:1\n\
         peer = 127.0.0.1:2\ncontrol = {control}\nupstream = 127.0.0.1:4\n\
         admin = 127.0.0.1:5\n[peers]\nsecret = 0123456789abcdef\n"
    );
    NodeSettings::parse("node.ini", &settings).unwrap()
}

fn member(name: &str) -> ControlState {
    ControlState::new(&settings(name, "z1", "127.0.0.1:3"), Incarnation(1), 1)
}

/// Guards against a departure that is forgotten with the restart of the node that acknowledged it,
/// because the store was out of reach.
#[test]
fn members_tell_a_restarted_node_which_departures_it_acknowledged() {
    let now = Timestamp::from_millis(1);
    let departure = RecordedDeparture {
        instance: InstanceId::new("i-1").unwrap(),
        start: Some(1),
        sequence: None,
        unix_ms: unix_millis(),
    };
    let (mut first, mut second, mut third) = (member("h1"), member("h2"), member("h3"));
    first.gossip_departures(std::slice::from_ref(&departure));
    let pass_on = |message, to: &mut ControlState| {
        for item in to.on_message(now, &message) {
            if let GossipItem::Departure(host, departure) = item {
                to.record_member_departure(host, departure);
            }
        }
    };
    pass_on(first.gossip_message(), &mut second);
    pass_on(second.gossip_message(), &mut third);
    // Nothing of it is queued any more.
    while !third.gossip_message().items.is_empty() {}
    let host = HostName::new("h1").unwrap();
    let expected = GossipItem::Departure(host.clone(), departure);
    assert_eq!(third.gossip_response(&host).items, [expected]);
    assert!(third.gossip_response(&HostName::new("h2").unwrap()).items.is_empty());
}

/// Returns the state of a node without its listeners.
fn node(name: &str, zone: &str) -> Arc<Shared> {
    // A loopback address of this process alone, so that no other process takes the port.
    let [_, high, middle, low] = std::process::id().to_be_bytes();
    let ip = Ipv4Addr::new(127, 128 | high, middle, low);
    let control = TcpListener::bind((ip, 0)).unwrap().local_addr().unwrap();
    let settings = settings(name, zone, &control.to_string());
    let adapters = Adapters::native(&settings);
    Arc::new(Shared::new(settings, adapters).unwrap())
}

fn crashed(fingerprint: u128, crashes: u8) -> QuarantineEntry {
    let fingerprint = Fingerprint(fingerprint);
    QuarantineEntry { fingerprint, crashes, clears: 0, lifts: 0, expires_in_ms: 60_000 }
}

/// Guards against a request that crashes upstreams in each zone again, because its zone knows so many
/// suspected requests that the other zones are never told about it.
#[tokio::test]
async fn quarantined_request_is_told_to_other_zones_beside_many_suspects() {
    const SUSPECTS: u128 = 300;
    /// Enough for all suspects, as a response takes 64.
    const PULLS: u64 = 6;
    let (first, second) = (node("h1", "z1"), node("h2", "z2"));
    let _server = rpc_server::start(&first).await.unwrap();
    let (zone, service) = (ZoneName::new("z1").unwrap(), ServiceName::new("pricing").unwrap());
    second.control().directory.add_contacts(&zone, true, &[first.settings.control]);
    let now = first.clock.now();
    let learn = |entry| first.host().merge_quarantine(now, &entry);
    // Low and high fingerprints, each quarantined before or after the others were suspected.
    let quarantined = [0, SUSPECTS + 1, u128::MAX - 1, u128::MAX];
    quarantined[..2].iter().for_each(|fingerprint| _ = learn(crashed(*fingerprint, 2)));
    (1..=SUSPECTS).for_each(|fingerprint| _ = learn(crashed(fingerprint, 1)));
    quarantined[2..].iter().for_each(|fingerprint| _ = learn(crashed(*fingerprint, 2)));
    let known = |node: &Shared| {
        let list = node.host().quarantine_list(node.clock.now());
        list.iter().map(|entry| (entry.fingerprint.0, entry.crashes)).collect::<Vec<_>>()
    };

    let mut time = Timestamp::ZERO;
    for _ in 0..PULLS {
        time = time + Duration::from_secs(5);
        pull(&second, time, &service).await;
    }
    assert_eq!(known(&second), known(&first));

    // What changes later is told with the next pull.
    learn(crashed(1, 2));
    learn(crashed(1_000, 1));
    pull(&second, time + Duration::from_secs(5), &service).await;
    assert_eq!(known(&second), known(&first));
}

/// Makes the pulls that a node which calls this service makes at this time.
async fn pull(node: &Arc<Shared>, now: Timestamp, service: &ServiceName) {
    let pulls = {
        let mut control = node.control();
        control.directory.record_call(now, service);
        control.directory.tick(now)
    };
    for DirectoryAction::Pull { zone, from, query } in pulls {
        thread::pull_directory(Arc::clone(node), zone, from, query).await;
    }
}
