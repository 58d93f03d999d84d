//! One host of a fleet.

use std::net::{IpAddr, Ipv4Addr, SocketAddr};

use snipehollow_config::model::ConfigState;
use snipehollow_core::ids::{HostName, Incarnation, RegionName, ServiceName, ZoneName};
use snipehollow_core::membership::{
    HostInfo, Membership, MembershipConfig, UpstreamInfo, UpstreamState,
};
use snipehollow_core::time::Timestamp;

const CONTROL_PORT: u16 = 7_002;
const PEER_PORT: u16 = 7_001;
/// Hosts that every other one knows as seeds.
const SEEDS: usize = 3;

/// One host of a fleet.
pub(super) struct Host {
    pub(super) membership: Membership,
    pub(super) config: ConfigState,
    pub(super) alive: bool,
    pub(super) left: bool,
    pub(super) paused_until: Timestamp,
    pub(super) sent_messages: u64,
    pub(super) sent_bytes: u64,
}

impl Host {
    pub(super) fn new(index: usize, start: u64) -> Host {
        let facts = HostInfo {
            peer: addr(index, PEER_PORT),
            control: addr(index, CONTROL_PORT),
            zone: ZoneName::new("zone").expect("a valid name"),
            region: RegionName::new("region").expect("a valid name"),
            upstream: Some(UpstreamInfo {
                service: ServiceName::new(&format!("service-{}", index % 280))
                    .expect("a valid name"),
                slots: 50,
                state: UpstreamState::Serving,
            }),
        };
        let seeds = (0..SEEDS).map(|seed| addr(seed, CONTROL_PORT)).collect();
        Host {
            membership: Membership::new(
                MembershipConfig::new(),
                host_name(index),
                Incarnation(start),
                facts,
                seeds,
            ),
            config: ConfigState::new(),
            alive: true,
            left: false,
            paused_until: Timestamp::ZERO,
            sent_messages: 0,
            sent_bytes: 0,
        }
    }
}

pub(super) fn host_name(index: usize) -> HostName {
    HostName::new(&format!("host-{index}")).expect("a valid name")
}

/// Returns the address of a host's face.
fn addr(index: usize, port: u16) -> SocketAddr {
    let ip = Ipv4Addr::from((10 << 24) + index as u32);
    SocketAddr::new(IpAddr::V4(ip), port)
}

/// Returns the host that has an address.
pub(super) fn index_of(addr: SocketAddr) -> usize {
    match addr.ip() {
        IpAddr::V4(ip) => (u32::from(ip) & 0x00ff_ffff) as usize,
        IpAddr::V6(_) => usize::MAX,
    }
}
