//! Tests of messages between nodes with entries that cannot be read.

use snipehollow_core::ids::{HostName, Incarnation, RegionName, ServiceName, ZoneName};
use snipehollow_core::membership::{
    DirectoryResponse, GossipItem, GossipMessage, GossipedMember, HostInfo, MemberState,
    Membership, MembershipConfig, SyncResponse, UpstreamInfo, UpstreamState,
};
use snipehollow_core::time::Timestamp;

fn info() -> HostInfo {
    HostInfo {
        peer: "127.0.0.1:7001".parse().unwrap(),
        control: "127.0.0.1:7002".parse().unwrap(),
        zone: ZoneName::new("z1").unwrap(),
        region: RegionName::new("r1").unwrap(),
        upstream: Some(UpstreamInfo {
            service: ServiceName::new("pricing").unwrap(),
            slots: 8,
            state: UpstreamState::Serving,
        }),
    }
}

fn member(host: &str, incarnation: u64) -> GossipedMember {
    GossipedMember {
        host: HostName::new(host).unwrap(),
        incarnation: Incarnation(incarnation),
        state: MemberState::Alive,
        info: Some(info()),
    }
}

fn message(members: &[GossipedMember]) -> GossipMessage {
    GossipMessage {
        from: HostName::new("h2").unwrap(),
        items: members.iter().cloned().map(GossipItem::Member).collect(),
        digest: 0,
        revision: 1,
        store_era: 0,
        lost_store: false,
    }
}

fn membership() -> Membership {
    let host = HostName::new("h1").unwrap();
    Membership::new(MembershipConfig::new(), host, Incarnation(5), info(), Vec::new())
}

/// JSON values that no entry of these lists can be: nested deeply, with a number too large, with a
/// field missing or of another type.
fn odd_entries() -> Vec<String> {
    let nested = format!("{}{}", "[".repeat(20_000), "]".repeat(20_000));
    let good = serde_json::to_string(&GossipItem::Member(member("odd", 1))).unwrap();
    vec![
        nested.clone(),
        "null".into(),
        "1e99999".into(),
        "{}".into(),
        "{\"later-kind\":{\"x\":1}}".into(),
        good.replace("7001", "70000"),
        good.replace("\"incarnation\":1", "\"incarnation\":18446744073709551616"),
        good.replace("\"slots\":8", "\"slots\":-1"),
        good.replace("\"slots\":8", &format!("\"slots\":{nested}")),
        good.replace("\"alive\"", "\"asleep\""),
        good.replace("\"host\":\"odd\",", ""),
    ]
}

/// Guards against an entry that makes a node ignore the whole messages of others, so that it takes
/// them for dead and no longer follows the membership.
#[test]
fn odd_entry_of_a_list_hides_no_other() {
    let good = [member("h3", 1), member("h4", 1)];
    let gossip = serde_json::to_string(&message(&good)).unwrap();
    let sync = serde_json::to_string(&SyncResponse { members: good.to_vec() }).unwrap();
    let directory = r#"{"zone":"z2","changed":[],"contacts":["127.0.0.1:1","127.0.0.1:2"]}"#;
    for odd in odd_entries() {
        let shown = &odd[..odd.len().min(80)];
        let text = gossip.replacen("\"items\":[", &format!("\"items\":[{odd},"), 1);
        let read: GossipMessage = serde_json::from_str(&text).unwrap();
        assert_eq!(read, message(&good), "{shown}");
        let text = sync.replacen("\"news\":[", &format!("\"news\":[{odd},"), 1);
        let read: SyncResponse = serde_json::from_str(&text).unwrap();
        assert_eq!(read.members, good, "{shown}");
        for list in ["changed", "contacts"] {
            let start = format!("\"{list}\":[");
            let comma = if list == "contacts" { "," } else { "" };
            let text = directory.replacen(&start, &format!("{start}{odd}{comma}"), 1);
            let read: DirectoryResponse = serde_json::from_str(&text).unwrap();
            assert_eq!((read.changed.len(), read.contacts.len()), (0, 2), "{shown}");
        }
    }
}

/// Guards against an incarnation that leaves a node no higher one: it would end with an overflow, or
/// never be taken for alive again.
#[test]
fn implausible_incarnation_is_ignored() {
    let now = Timestamp::from_millis(1);
    for incarnation in [u64::MAX, u64::MAX - 1, 1 << 62] {
        let mut membership = membership();
        let own = GossipedMember { state: MemberState::Dead, ..member("h1", incarnation) };
        let claims = [own, member("h3", incarnation), member("h4", 1)];
        membership.on_message(now, &message(&claims));
        assert_eq!(membership.incarnation(), Incarnation(5), "{incarnation}");
        assert!(membership.get(&HostName::new("h3").unwrap()).is_none(), "{incarnation}");
        assert!(membership.get(&HostName::new("h4").unwrap()).is_some(), "{incarnation}");
    }
    let mut membership = membership();
    let claim = GossipedMember { state: MemberState::Dead, ..member("h1", 7) };
    membership.on_message(now, &message(&[claim]));
    assert_eq!(membership.incarnation(), Incarnation(8), "a plausible claim is refuted");
}
