//! One simulated host of a fleet.

use std::net::{IpAddr, Ipv4Addr, SocketAddr};

use snipehollow_config::model::ConfigState;
use snipehollow_core::ids::{HostName, Incarnation, RegionName, ServiceName, ZoneName};
use snipehollow_core::membership::{
    HostInfo, Membership, MembershipConfig, UpstreamInfo, UpstreamState,
};
use snipehollow_core::time::Timestamp;

const CONTROL_PORT: u16 = 7_002;
const PEER_PORT: u16 = 7_001;
/// Number of seed hosts: every host starts with the addresses of the first ones.
const SEED_HOSTS: usize = 3;

/// State of one host: the state machines under test and the condition of its process.
pub(super) struct Host {
    pub(super) membership: Membership,
    pub(super) config: ConfigState,
    /// Whether its process runs, paused or not.
    pub(super) alive: bool,
    /// Whether it left the fleet; its process still runs.
    pub(super) left: bool,
    /// Time until which its process is paused.
    pub(super) paused_until: Timestamp,
    pub(super) sent_messages: u64,
    pub(super) sent_bytes: u64,
}

impl Host {
    /// Creates a host that just started; `incarnation` must be higher than that of any earlier
    /// process under the same name.
    pub(super) fn new(index: usize, incarnation: u64) -> Host {
        let info = HostInfo {
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
        let seeds = (0..SEED_HOSTS).map(|seed| addr(seed, CONTROL_PORT)).collect();
        Host {
            membership: Membership::new(
                MembershipConfig::new(),
                host_name(index),
                Incarnation(incarnation),
                info,
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

/// Returns the address of a listener of a host.
fn addr(index: usize, port: u16) -> SocketAddr {
    let ip = Ipv4Addr::from((10 << 24) + index as u32);
    SocketAddr::new(IpAddr::V4(ip), port)
}

/// Returns the index of the host that has an address.
pub(super) fn host_index(addr: SocketAddr) -> usize {
    match addr.ip() {
        IpAddr::V4(ip) => (u32::from(ip) & 0x00ff_ffff) as usize,
        IpAddr::V6(_) => usize::MAX,
    }
}
