//! What is known of one member.

use std::net::SocketAddr;

use crate::ids::{HostName, Incarnation, RegionName, ServiceName, ZoneName};
use crate::time::Timestamp;

key_type! {
    /// State of a member; of two states of one incarnation the greater wins.
    pub enum MemberState {
        /// Answers probes.
        Alive,
        /// Did not answer; may still refute.
        Suspect,
        /// Declared dead.
        Dead,
        /// Stopped by plan.
        Left,
    }

    /// State of the upstream on a host.
    pub enum UpstreamState {
        /// Announced, not ready for work.
        Starting,
        /// Takes work.
        Serving,
        /// Takes no new work.
        Leaving,
    }
}

data_type! {
    /// The upstream that a host announced.
    pub struct UpstreamInfo {
        /// Service of the upstream.
        pub service: ServiceName,
        /// Requests it may run at once.
        pub slots: u32,
        /// State.
        pub state: UpstreamState,
    }

    /// What a host says of itself; changes only with a higher incarnation.
    pub struct HostInfo {
        /// Address for calls between nodes.
        pub peer: SocketAddr,
        /// Address for control messages between nodes.
        pub control: SocketAddr,
        /// Availability zone.
        pub zone: ZoneName,
        /// Region.
        pub region: RegionName,
        /// Upstream, if one is announced.
        pub upstream: Option<UpstreamInfo>,
    }

    /// State of one member, as it spreads between nodes.
    pub struct MemberUpdate {
        /// Name of the host.
        pub host: HostName,
        /// Incarnation that the state is about.
        pub incarnation: Incarnation,
        /// State.
        pub state: MemberState,
        /// What the host said of itself in that incarnation.
        #[serde(rename = "facts")]
        pub info: HostInfo,
    }
}

data_type! {
    /// What travels of a member's state: a host that is not alive needs no info.
    pub struct GossipedMember {
        /// Name of the host.
        pub host: HostName,
        /// Incarnation that the state is about.
        pub incarnation: Incarnation,
        /// State.
        pub state: MemberState,
        /// What the host said of itself, if it is alive.
        #[serde(rename = "facts")]
        pub info: Option<HostInfo>,
    }
}

impl GossipedMember {
    /// Returns what travels of an update.
    pub fn from_update(update: &MemberUpdate) -> GossipedMember {
        let info = (update.state == MemberState::Alive).then(|| update.info.clone());
        let MemberUpdate { host, incarnation, state, .. } = update.clone();
        GossipedMember { host, incarnation, state, info }
    }

    /// Returns the update, with the info that are known already if the news has none;
    /// `None` if there are neither.
    pub fn to_update(&self, known: Option<&HostInfo>) -> Option<MemberUpdate> {
        let info = self.info.as_ref().or(known)?.clone();
        let GossipedMember { host, incarnation, state, .. } = self.clone();
        Some(MemberUpdate { host, incarnation, state, info })
    }
}

impl MemberUpdate {
    /// Tells whether this update replaces one about the same host.
    pub fn supersedes(&self, other: &MemberUpdate) -> bool {
        (self.incarnation, self.state) > (other.incarnation, other.state)
    }

    /// Returns the service that the host takes work for, if any.
    pub fn serving(&self) -> Option<&UpstreamInfo> {
        let alive = matches!(self.state, MemberState::Alive | MemberState::Suspect);
        self.info.upstream.as_ref().filter(|up| alive && up.state == UpstreamState::Serving)
    }
}

/// A member and when its state last changed here.
#[derive(Clone, Debug)]
pub struct Member {
    /// The newest update.
    pub update: MemberUpdate,
    /// When it was taken in.
    pub changed_at: Timestamp,
}

impl Member {
    /// Tells whether the member may still answer.
    pub fn is_live(&self) -> bool {
        matches!(self.update.state, MemberState::Alive | MemberState::Suspect)
    }
}
