//! Control messages between nodes, sent over JSON-RPC.
//!
//! Every request is wrapped in an [`Envelope`].

use std::net::SocketAddr;

use snipehollow_config::model::ConfigDelta;
use snipehollow_core::data_type;
use snipehollow_core::ids::ZoneName;
use snipehollow_core::membership::{BucketDigests, DirectoryQuery, GossipMessage, MemberUpdate};

/// Method that probes a member with a [`ProbeRequest`]; returns a [`GossipMessage`].
pub const PROBE: &str = "member.probe";
/// Method that asks a member to probe another one with a [`ProbeViaRequest`]; returns the
/// response of the probed member, or an error.
pub const PROBE_VIA: &str = "member.probe_via";
/// Method for anti-entropy between two members of a zone with a [`SyncRequest`]; returns the
/// members whose states may differ.
pub const SYNC: &str = "member.sync";
/// Method that queries the hosts of services in another zone with a [`DirectoryRequest`].
pub const DIRECTORY: &str = "directory.pull";
/// Method that pulls newer configuration with a [`ConfigRequest`]; returns a [`ConfigResponse`].
pub const CONFIG: &str = "config.pull";
/// Method that notifies a node in another zone of a revision with a [`ConfigNotification`];
/// returns a [`ConfigNotificationResponse`].
pub const CONFIG_NOTIFICATION: &str = "config.news";

data_type! {
    /// Wrapper that authenticates a request; the receiver rejects it if the secret differs.
    pub struct Envelope<T> {
        /// Secret shared by all nodes, from their settings.
        pub secret: String,
        /// Availability zone of the sender; requests from blocked zones are rejected.
        pub zone: ZoneName,
        /// Request of the called method.
        pub body: T,
    }

    /// Probe of the failure detector.
    pub struct ProbeRequest {
        /// Gossip that is sent along with the probe.
        pub message: GossipMessage,
    }

    /// Request to probe a member that did not respond to the sender's own probe.
    pub struct ProbeViaRequest {
        /// Control address of the member to probe.
        pub target: SocketAddr,
        /// Gossip that is sent along with the probe, on behalf of the sender.
        pub message: GossipMessage,
    }

    /// Anti-entropy request: the receiver returns the members in buckets whose digests differ.
    pub struct SyncRequest {
        /// State of the sender itself, so that a joining node becomes a member at the receiver.
        pub own: MemberUpdate,
        /// Digests of the sender's view of the membership, one for each bucket of members.
        pub digests: BucketDigests,
    }

    /// Request for the hosts of services in the receiver's zone.
    pub struct DirectoryRequest {
        /// Services to look up.
        pub query: DirectoryQuery,
    }

    /// Request for the configuration changes that the sender does not have.
    pub struct ConfigRequest {
        /// Revision in force at the sender; 0 requests all sections.
        pub revision: u64,
    }

    /// Notification that a configuration is in force at the sender.
    // Name of the type in error messages that leave the process.
    #[serde(expecting = "struct ConfigNews")]
    pub struct ConfigNotification {
        /// Revision in force at the sender.
        pub revision: u64,
        /// Control address of the sender, from which the receiver can pull the configuration.
        pub from: SocketAddr,
    }

    /// Response to a [`ConfigNotification`].
    pub struct ConfigNotificationResponse {
        /// Revision in force at the receiver of the notification. If it is newer than the one in
        /// the notification, the sender pulls it.
        pub revision: u64,
    }

    /// Response to a [`ConfigRequest`].
    pub struct ConfigResponse {
        /// Revision in force at the responding node.
        pub revision: u64,
        /// Changes since the requested revision; `None` if there are none.
        pub delta: Option<ConfigDelta>,
    }
}
