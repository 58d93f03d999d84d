//! State of one member and its representation in gossip.

use std::net::SocketAddr;

use crate::ids::{HostName, Incarnation, RegionName, ServiceName, ZoneName};
use crate::time::Timestamp;

key_type! {
    /// State of a member. Of two states with the same incarnation, the greater one wins.
    pub enum MemberState {
        /// Responds to probes.
        Alive,
        /// Did not respond to probes, but may still refute the suspicion.
        Suspect,
        /// Declared dead, because it did not refute a suspicion in time.
        Dead,
        /// Left the group in a planned shutdown.
        Left,
    }

    /// State of the upstream on a host, as the host advertises it.
    pub enum UpstreamState {
        /// Announced, but not ready for requests.
        Starting,
        /// Accepts requests.
        Serving,
        /// Accepts no new requests and finishes those in progress.
        Leaving,
    }
}

data_type! {
    /// Upstream that runs on a host.
    // Name of the type in error messages that leave the process.
    #[serde(expecting = "struct UpstreamFacts")]
    pub struct UpstreamInfo {
        /// Service that the upstream implements.
        pub service: ServiceName,
        /// Maximum number of requests that it runs at once.
        pub slots: u32,
        /// Whether it accepts requests.
        pub state: UpstreamState,
    }

    /// Metadata that a host publishes about itself. Any change comes with a higher incarnation.
    // Name of the type in error messages that leave the process.
    #[serde(expecting = "struct HostFacts")]
    pub struct HostInfo {
        /// Address of the listener for calls from other nodes.
        pub peer: SocketAddr,
        /// Address of the listener for control messages from other nodes.
        pub control: SocketAddr,
        /// Availability zone that the host is in.
        pub zone: ZoneName,
        /// Region that the zone belongs to.
        pub region: RegionName,
        /// Upstream on the host; `None` while none is announced.
        pub upstream: Option<UpstreamInfo>,
    }

    /// State of one member with its metadata.
    pub struct MemberUpdate {
        /// Host that the update is about.
        pub host: HostName,
        /// Incarnation that the state belongs to; raised by the host itself.
        pub incarnation: Incarnation,
        /// State of the member in that incarnation.
        pub state: MemberState,
        /// Metadata that the host published in that incarnation.
        #[serde(rename = "facts")]
        pub info: HostInfo,
    }
}

data_type! {
    /// State of one member, as it is sent to other nodes. The metadata of a member that is not
    /// alive is left out to save bytes.
    // Name of the type in error messages that leave the process.
    #[serde(expecting = "struct MemberNews")]
    pub struct GossipedMember {
        /// Host that the update is about.
        pub host: HostName,
        /// Incarnation that the state belongs to; raised by the host itself.
        pub incarnation: Incarnation,
        /// State of the member in that incarnation.
        pub state: MemberState,
        /// Metadata of the host; `None` unless the member is alive.
        #[serde(rename = "facts")]
        pub info: Option<HostInfo>,
    }
}

impl GossipedMember {
    /// Returns the form of an update that is sent to other nodes.
    pub fn from_update(update: &MemberUpdate) -> GossipedMember {
        let info = (update.state == MemberState::Alive).then(|| update.info.clone());
        let MemberUpdate { host, incarnation, state, .. } = update.clone();
        GossipedMember { host, incarnation, state, info }
    }

    /// Returns the full update. Metadata that was left out is taken from `known`; returns `None`
    /// if there is none either.
    pub fn to_update(&self, known: Option<&HostInfo>) -> Option<MemberUpdate> {
        let info = self.info.as_ref().or(known)?.clone();
        let GossipedMember { host, incarnation, state, .. } = self.clone();
        Some(MemberUpdate { host, incarnation, state, info })
    }
}

impl MemberUpdate {
    /// Returns whether this update is newer than another one about the same host.
    pub fn supersedes(&self, other: &MemberUpdate) -> bool {
        (self.incarnation, self.state) > (other.incarnation, other.state)
    }

    /// Returns the upstream of the host if it accepts requests and the host is alive or suspected.
    pub fn serving(&self) -> Option<&UpstreamInfo> {
        let alive = matches!(self.state, MemberState::Alive | MemberState::Suspect);
        self.info.upstream.as_ref().filter(|up| alive && up.state == UpstreamState::Serving)
    }
}

/// Member as this node knows it.
#[derive(Clone, Debug)]
pub struct Member {
    /// Newest update that this node has received.
    pub update: MemberUpdate,
    /// Time at which this node applied the update.
    pub changed_at: Timestamp,
}

impl Member {
    /// Returns whether the member is alive or only suspected, so that it may still respond.
    pub fn is_live(&self) -> bool {
        matches!(self.update.state, MemberState::Alive | MemberState::Suspect)
    }
}
