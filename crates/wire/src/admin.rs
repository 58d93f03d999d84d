//! What the operators' command line reads from a node.

use snipehollow_core::data_type;
use snipehollow_core::ids::{HostName, InstanceId, RegionName, RequestId, ServiceName, ZoneName};
use snipehollow_core::membership::{MemberState, MemberUpdate, UpstreamFacts};
use snipehollow_core::quarantine::QuarantineEntry;
use snipehollow_core::trace::Step;

data_type! {
    /// Announcement of an upstream to the node of its host.
    pub struct Announcement {
        /// What the upstream says of itself.
        pub upstream: UpstreamFacts,
        /// Address at which it takes requests.
        pub addr: std::net::SocketAddr,
        /// Connections that it accepts.
        pub connections: u32,
        /// Number of this start of the upstream, so that a restart is noticed.
        pub start: u64,
        /// Time for which the announcement holds unless renewed, in milliseconds.
        pub ttl_ms: u32,
        /// Name of this start of the upstream, if it has one.
        #[serde(default)]
        pub instance: Option<InstanceId>,
        /// Number that rises with each announcement of one start; 0 if it has none.
        #[serde(default)]
        pub sequence: u64,
        /// Time for which the upstream is still slow after its start, in milliseconds.
        #[serde(default)]
        pub cold_ms: u32,
    }

    /// Load and limits of a gate.
    pub struct GateState {
        /// Service of the upstream.
        pub service: ServiceName,
        /// Slots that it announced.
        pub slots: u32,
        /// Limit of the requests in flight.
        pub limit: u32,
        /// Requests in flight.
        pub in_flight: u32,
        /// Requests waiting.
        pub queued: u32,
        /// Whether it takes no new work.
        pub leaving: bool,
        /// Slot time that arrivals ask for, in thousandths of what the slots have.
        #[serde(default)]
        pub demand_milli: u32,
        /// Level that entries are told, in thousandths.
        #[serde(default)]
        pub level_milli: u32,
        /// Retries that the upstream may get now, in thousandths; below 0 those owed.
        #[serde(default)]
        pub saved_retries_milli: i32,
    }

    /// A host of a called service, as the node sees it.
    pub struct RouteState {
        /// Service.
        pub service: ServiceName,
        /// Host.
        pub host: HostName,
        /// Availability zone of the host.
        pub zone: ZoneName,
        /// Tries in flight from this node.
        pub in_flight: u32,
        /// Whether the host is set aside after failures.
        #[serde(rename = "set-aside")]
        pub ejected: bool,
    }

    /// State of one node, as `/state` dumps it.
    pub struct NodeState {
        /// Name of the host.
        pub host: HostName,
        /// Availability zone.
        pub zone: ZoneName,
        /// Region.
        pub region: RegionName,
        /// Time since the process started, in milliseconds.
        pub uptime_ms: u64,
        /// Revision of the configuration in force.
        pub revision: u64,
        /// Whether the node takes no new work.
        pub draining: bool,
        /// Whether the last call to the store succeeded; `None` if this node makes none.
        pub store_reachable: Option<bool>,
        /// Requests in progress at the caller face.
        pub entering: u32,
        /// The gate, if an upstream is announced.
        pub gate: Option<GateState>,
        /// Members of the zone.
        pub members: Vec<MemberUpdate>,
        /// Hosts of called services.
        pub routes: Vec<RouteState>,
        /// Suspected and quarantined requests.
        pub quarantine: Vec<QuarantineEntry>,
        /// Bytes of stored answers of requests that may never repeat.
        pub ticket_answer_bytes: u64,
        /// Requests whose decisions are kept for `explain`.
        pub traced_requests: u32,
    }

    /// A node as `snipehollow nodes` lists it.
    pub struct NodeRow {
        /// Name of the host.
        pub host: HostName,
        /// Availability zone.
        pub zone: ZoneName,
        /// State of the member.
        pub state: MemberState,
        /// Upstream.
        pub upstream: Option<UpstreamFacts>,
    }

    /// What one node decided about a request.
    pub struct Explanation {
        /// The request.
        pub request: RequestId,
        /// The node.
        pub host: HostName,
        /// Its decisions, oldest first.
        pub steps: Vec<Step>,
    }
}
