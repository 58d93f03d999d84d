//! Membership of one availability zone, and what is known of the others.
//!
//! [`Membership`] follows SWIM: each period a node probes one member, indirectly if the
//! direct probe fails, and piggybacks recent changes on every message. Bucketed digests
//! repair what gossip missed. [`Directory`] holds the hosts of called services in other
//! zones, pulled from any member there, so that no role grows with the fleet.

mod action;
mod config;
mod departures;
mod directory;
mod gossip;
mod member;
mod probes;
mod rendezvous;
mod swim;
mod sync;

pub use action::{MemberAction, ProbeId};
pub use config::MembershipConfig;
pub use departures::Departures;
pub use directory::{
    Directory, DirectoryAction, DirectoryConfig, DirectoryQuery, DirectoryResponse, ServiceDigest,
    ServiceHosts,
};
pub use gossip::{GossipItem, GossipMessage, GossipQueue};
pub use member::{
    GossipedMember, HostInfo, Member, MemberState, MemberUpdate, UpstreamInfo, UpstreamState,
};
pub use rendezvous::rank_by_rendezvous;
pub use swim::Membership;
pub use sync::{BUCKET_COUNT, BucketDigests, SyncResponse};
