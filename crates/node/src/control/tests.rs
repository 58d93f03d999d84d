//! Tests of what the members of a zone tell each other.

use snipehollow_config::settings::NodeSettings;
use snipehollow_core::ids::{HostName, Incarnation, InstanceId};
use snipehollow_core::membership::{GossipItem, RecordedDeparture};
use snipehollow_core::time::Timestamp;

use super::ControlState;
use crate::clock::unix_millis;

fn member(name: &str) -> ControlState {
    let settings = format!(
        "[host]\nname = {name}\nzone = z1\nregion = r1\n[listen]\ncaller = 127.0.0.1:1\n\
         peer = 127.0.0.1:2\ncontrol = 127.0.0.1:3\nupstream = 127.0.0.1:4\n\
         admin = 127.0.0.1:5\n[peers]\nsecret = 0123456789abcdef\n"
    );
    let settings = NodeSettings::parse("node.ini", &settings).unwrap();
    ControlState::new(&settings, Incarnation(1), 1)
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
