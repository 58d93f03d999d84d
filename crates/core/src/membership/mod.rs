//! Membership of this node's availability zone, and service discovery in the other zones.
//!
//! [`Membership`] implements the SWIM protocol: in each period, a node probes one member,
//! indirectly if the direct probe fails, and piggybacks recent changes on every message. Nodes
//! compare digests of buckets of members (anti-entropy) to repair what gossip missed.
//! [`Directory`] caches the hosts that run called services in other zones. It pulls them from any
//! member of a zone, so that the work of no node grows with the size of the fleet.

mod action;
mod config;
mod departures;
mod directory;
mod gossip;
mod member;
mod member_departures;
mod probes;
mod rendezvous;
mod swim;
mod sync;
mod watch_order;

pub use action::{MemberAction, ProbeId};
pub use config::MembershipConfig;
pub use departures::{Departures, RecordedDeparture};
pub use directory::{
    Directory, DirectoryAction, DirectoryConfig, DirectoryQuery, DirectoryResponse, ServiceDigest,
    ServiceHosts,
};
pub use gossip::{GossipItem, GossipMessage, GossipQueue};
pub use member::{
    GossipedMember, HostInfo, Member, MemberState, MemberUpdate, UpstreamInfo, UpstreamState,
};
pub use member_departures::MemberDepartures;
pub use rendezvous::rank_by_rendezvous;
pub use swim::Membership;
pub use sync::{BUCKET_COUNT, BucketDigests, SyncResponse};
pub use watch_order::{OrderedMember, WatchOrder};
