//! Responses of a node's admin server, and announcements of upstreams, as JSON.

use snipehollow_core::data_type;
use snipehollow_core::ids::{HostName, InstanceId, RegionName, RequestId, ServiceName, ZoneName};
use snipehollow_core::membership::{MemberState, MemberUpdate, UpstreamInfo};
use snipehollow_core::quarantine::QuarantineEntry;
use snipehollow_core::trace::Step;

data_type! {
    /// Announcement that an upstream sends to the node on its host.
    pub struct Announcement {
        /// Service, slots and state, as reported by the upstream.
        pub upstream: UpstreamInfo,
        /// Address at which the upstream accepts requests.
        pub addr: std::net::SocketAddr,
        /// Maximum number of connections that the upstream accepts.
        pub connections: u32,
        /// Number that increases with each start of the upstream process, so that a restart is
        /// detected; announcements of an earlier start are ignored.
        pub start: u64,
        /// Time after which the announcement expires unless it is renewed, in milliseconds.
        pub ttl_ms: u32,
        /// Id of the upstream process; `None` if the upstream does not have one.
        #[serde(default)]
        pub instance: Option<InstanceId>,
        /// Number that increases with each announcement of one process, so that reordered ones are
        /// ignored; 0 if announcements are not numbered.
        #[serde(default)]
        pub sequence: u64,
        /// Remaining warm-up time after the start of the upstream, in milliseconds.
        #[serde(default)]
        pub cold_ms: u32,
    }

    /// Load and limits of the gate on a host.
    pub struct GateState {
        /// Service of the upstream behind the gate.
        pub service: ServiceName,
        /// Slots that the upstream announced.
        pub slots: u32,
        /// Current concurrency limit.
        pub limit: u32,
        /// Requests in flight at the upstream.
        pub in_flight: u32,
        /// Requests in the queue of the gate.
        pub queued: u32,
        /// Rate limit that the upstream names, in thousandths of a request per second; `None` if it
        /// names none.
        #[serde(default)]
        pub rate_limit_milli: Option<u64>,
        /// Whether the upstream is leaving, so that the gate refuses new requests.
        pub leaving: bool,
        /// Demand of arriving requests for slot time, in thousandths of the slot time available.
        #[serde(default)]
        pub demand_milli: u32,
        /// Shedding level that the gate reports to entry nodes, in thousandths; above 1000 it also
        /// applies to the most urgent rank.
        #[serde(default)]
        pub level_milli: u32,
        /// Balance of the retry budget, in thousandths of a retry; negative if it is overdrawn.
        #[serde(default)]
        pub saved_retries_milli: i32,
    }

    /// A host of a service, from the point of view of one node.
    pub struct RouteState {
        /// Service that the host runs.
        pub service: ServiceName,
        /// Name of the host.
        pub host: HostName,
        /// Availability zone of the host.
        pub zone: ZoneName,
        /// Tries in flight from this node to the host.
        pub in_flight: u32,
        /// Whether the node has temporarily ejected the host after failures.
        #[serde(rename = "set-aside")]
        pub ejected: bool,
    }

    /// State of one node, as returned by `/state`.
    pub struct NodeState {
        /// Name of the host.
        pub host: HostName,
        /// Availability zone of the host.
        pub zone: ZoneName,
        /// Region of the availability zone.
        pub region: RegionName,
        /// Time since the node process started, in milliseconds.
        pub uptime_ms: u64,
        /// Revision of the configuration in force; 0 before the first.
        pub revision: u64,
        /// Whether the node is draining and refuses new requests.
        pub draining: bool,
        /// Whether the last call to the store succeeded; `None` if this node does not call the
        /// store: none is configured, or other members watch it for the zone.
        pub store_reachable: Option<bool>,
        /// Requests in progress that this node received from callers.
        pub entering: u32,
        /// State of the gate; `None` if no upstream is known.
        pub gate: Option<GateState>,
        /// Members of the zone, sorted by host name, with their states as known to this node.
        pub members: Vec<MemberUpdate>,
        /// Hosts of the services that this node sends requests to, sorted by service and host.
        pub routes: Vec<RouteState>,
        /// Suspected and quarantined requests.
        pub quarantine: Vec<QuarantineEntry>,
        /// Memory used for stored responses to requests that must never run twice, in bytes.
        pub ticket_answer_bytes: u64,
        /// Number of requests whose decisions are kept for `explain`.
        pub traced_requests: u32,
    }

    /// A row of the node list, as returned by `/nodes`.
    pub struct NodeRow {
        /// Name of the host.
        pub host: HostName,
        /// Availability zone of the host.
        pub zone: ZoneName,
        /// State of the member, as known to the responding node.
        pub state: MemberState,
        /// Upstream that the host announced; `None` if there is none.
        pub upstream: Option<UpstreamInfo>,
    }

    /// Decisions of one node about a request, as returned by `/explain/{id}`.
    pub struct Explanation {
        /// Id of the request.
        pub request: RequestId,
        /// Host of the node that made the decisions.
        pub host: HostName,
        /// Decisions of the node, oldest first.
        pub steps: Vec<Step>,
    }
}
