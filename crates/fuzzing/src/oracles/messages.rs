//! Oracle for messages between nodes with entries that another writer got wrong.

use snipehollow_core::ids::{HostName, Incarnation, RegionName, ServiceName, ZoneName};
use snipehollow_core::membership::{
    GossipItem, GossipMessage, GossipedMember, HostInfo, MemberState, Membership, MembershipConfig,
    UpstreamInfo, UpstreamState,
};
use snipehollow_core::rng::Rng;
use snipehollow_core::time::Timestamp;

use crate::generators::{spoil_bytes, spoil_value};
use crate::{Violation, check};

/// Members in a message.
const MEMBERS: usize = 5;

/// Spoils `count` messages, drawn from a seed, and has a node read them: a wrong entry must hide no
/// other, and whatever can be read must leave the node a member that is alive.
///
/// # Errors
///
/// Returns the first violation.
pub fn check_messages(seed: u64, count: usize) -> Result<(), Violation> {
    let mut rng = Rng::new(seed);
    let mut node = membership()?;
    for number in 0..count {
        let now = Timestamp::from_millis(number as u64 + 1);
        let own_name = node.host().clone();
        let members = random_members(&mut rng, &own_name)?;
        check_wrong_entry(&mut rng, &mut node, now, &members)?;
        let text = encode(&message(&members)?)?;
        let bytes = spoil_bytes(&mut rng, &text);
        if let Ok(message) = serde_json::from_slice::<GossipMessage>(&bytes) {
            node.on_message(now, &message);
        }
        let own = node.get(&own_name).map(|member| member.update.state);
        check!(own == Some(MemberState::Alive), "the node is {own:?} to itself");
        check!(node.incarnation().is_plausible(), "incarnation {}", node.incarnation());
    }
    Ok(())
}

/// Has the node read a message with one wrong entry, and checks that the others were applied.
fn check_wrong_entry(
    rng: &mut Rng,
    node: &mut Membership,
    now: Timestamp,
    members: &[GossipedMember],
) -> Result<(), Violation> {
    let wrong = rng.below(members.len());
    let mut entries = Vec::new();
    for (i, member) in members.iter().enumerate() {
        let text = encode(&GossipItem::Member(member.clone()))?;
        entries.push(if i == wrong { spoil_value(rng, &text) } else { text });
    }
    let frame = encode(&message(&[])?)?;
    let text = frame.replacen("\"items\":[", &format!("\"items\":[{}", entries.join(",")), 1);
    let read: GossipMessage = serde_json::from_str(&text)
        .map_err(|err| Violation::new(format!("{err} in {}", entries[wrong])))?;
    node.on_message(now, &read);
    for (i, member) in members.iter().enumerate() {
        let known = node.get(&member.host).map(|known| known.update.incarnation);
        let is_known = known.is_some_and(|known| known >= member.incarnation);
        check!(i == wrong || is_known, "{} is hidden by {}", member.host, entries[wrong]);
    }
    Ok(())
}

/// Returns members with a high probability of claims about the node itself.
fn random_members(rng: &mut Rng, own: &HostName) -> Result<Vec<GossipedMember>, Violation> {
    let mut members = Vec::new();
    for i in 0..MEMBERS {
        let host =
            if rng.chance(0.2) { own.clone() } else { name(HostName::new(&format!("h{i}")))? };
        let alive = rng.chance(0.7);
        members.push(GossipedMember {
            host,
            incarnation: Incarnation(1 + rng.below(1_000) as u64),
            state: if alive { MemberState::Alive } else { MemberState::Dead },
            info: alive.then(info).transpose()?,
        });
    }
    // Only hosts that are known to be alive have a state without metadata.
    members.retain(|member| member.info.is_some() || member.host == *own);
    members.push(GossipedMember {
        host: name(HostName::new("last"))?,
        incarnation: Incarnation(1),
        state: MemberState::Alive,
        info: Some(info()?),
    });
    Ok(members)
}

fn membership() -> Result<Membership, Violation> {
    let host = name(HostName::new("own"))?;
    Ok(Membership::new(MembershipConfig::new(), host, Incarnation(5), info()?, Vec::new()))
}

fn message(members: &[GossipedMember]) -> Result<GossipMessage, Violation> {
    Ok(GossipMessage {
        from: name(HostName::new("h1"))?,
        items: members.iter().cloned().map(GossipItem::Member).collect(),
        digest: 0,
        revision: 1,
        store_era: 0,
        lost_store: false,
    })
}

fn info() -> Result<HostInfo, Violation> {
    Ok(HostInfo {
        peer: ([127, 0, 0, 1], 7_001).into(),
        control: ([127, 0, 0, 1], 7_002).into(),
        zone: name(ZoneName::new("z1"))?,
        region: name(RegionName::new("r1"))?,
        upstream: Some(UpstreamInfo {
            service: name(ServiceName::new("pricing"))?,
            slots: 8,
            state: UpstreamState::Serving,
        }),
    })
}

fn name<T, E: std::fmt::Display>(name: Result<T, E>) -> Result<T, Violation> {
    name.map_err(|err| Violation::new(err.to_string()))
}

fn encode(value: &impl serde::Serialize) -> Result<String, Violation> {
    serde_json::to_string(value).map_err(|err| Violation::new(err.to_string()))
}
