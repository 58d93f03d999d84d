//! Control messages between nodes, carried by JSON-RPC.

use std::net::SocketAddr;

use snipehollow_config::model::ConfigDelta;
use snipehollow_core::data_type;
use snipehollow_core::ids::ZoneName;
use snipehollow_core::membership::{BucketDigests, DirectoryQuery, GossipMessage, MemberUpdate};

/// Method: a probe; answered with a [`GossipMessage`].
pub const PROBE: &str = "member.probe";
/// Method: asks a member to probe another one; answered with the latter's answer.
pub const PROBE_VIA: &str = "member.probe_via";
/// Method: synchronization; answered with the members that differ.
pub const SYNC: &str = "member.sync";
/// Method: hosts of services in the answering node's zone.
pub const DIRECTORY: &str = "directory.pull";
/// Method: what a node lacks of the configuration.
pub const CONFIG: &str = "config.pull";
/// Method: tells a node of another zone that a configuration is in force.
pub const CONFIG_NOTIFICATION: &str = "config.news";

data_type! {
    /// What surrounds every message.
    pub struct Envelope<T> {
        /// Secret shared by the nodes.
        pub secret: String,
        /// Availability zone of the sender.
        pub zone: ZoneName,
        /// The message.
        pub body: T,
    }

    /// A probe.
    pub struct ProbeRequest {
        /// What it carries.
        pub message: GossipMessage,
    }

    /// A request to probe another member.
    pub struct ProbeViaRequest {
        /// Control address of the member to probe.
        pub target: SocketAddr,
        /// What the probe carries.
        pub message: GossipMessage,
    }

    /// A synchronization.
    pub struct SyncRequest {
        /// The sender's own state, so that a node that joins becomes known.
        pub own: MemberUpdate,
        /// Digests of the sender's view.
        pub digests: BucketDigests,
    }

    /// A request for hosts in the answering node's zone.
    pub struct DirectoryRequest {
        /// The services.
        pub query: DirectoryQuery,
    }

    /// A request for what the sender lacks of the configuration.
    pub struct ConfigRequest {
        /// Revision in force at the sender.
        pub revision: u64,
    }

    /// News of a configuration that is in force at the sender.
    pub struct ConfigNotification {
        /// Revision in force at the sender.
        pub revision: u64,
        /// Control address of the sender, from which it may be pulled.
        pub from: SocketAddr,
    }

    /// Answer to a [`ConfigNotification`].
    pub struct ConfigNotificationResponse {
        /// Revision in force at the answering node.
        pub revision: u64,
    }

    /// Answer to a [`ConfigRequest`].
    pub struct ConfigResponse {
        /// Revision in force at the answering node.
        pub revision: u64,
        /// What the sender lacks; `None` if nothing.
        pub delta: Option<ConfigDelta>,
    }
}
