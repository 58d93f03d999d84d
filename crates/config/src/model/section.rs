//! Sections: the parts of the configuration that change on their own.

use std::fmt;

use displaydoc::Display;
use snipehollow_core::class::{ClassPolicy, ClassRule};
use snipehollow_core::ids::{RegionName, ServiceName, VirtualHostName};
use snipehollow_core::outcome::RefusalTrust;
use snipehollow_core::{data_type, key_type};

use super::stop::PlannedStop;

key_type! {
    /// Digest of a section's stored form.
    pub struct SectionDigest(u128);
}

data_type! {
    /// Byte budget of the link from one region to another.
    pub struct LinkBudgetRow {
        /// Region that sends.
        pub from: RegionName,
        /// Region that receives.
        pub to: RegionName,
        /// Bytes per second for all nodes of the sending region together.
        pub bytes_per_second: u64,
    }

    /// What holds for all services.
    #[derive(Default)]
    pub struct GlobalSection {
        /// Classes of requests.
        pub classes: Vec<ClassPolicy>,
        /// Budgets of the links between regions.
        pub links: Vec<LinkBudgetRow>,
        /// Planned stops.
        pub stops: Vec<PlannedStop>,
        /// What callers may send, where it differs from the node's settings.
        #[serde(default)]
        pub caller_limits: Option<CallerLimits>,
    }

    /// Bounds on what a caller may send and how long it may take.
    pub struct CallerLimits {
        /// Most bytes of a request's head.
        pub max_head_bytes: usize,
        /// Most bytes of a request's body.
        pub max_body_bytes: usize,
        /// Time in which a request's head must be complete, in milliseconds.
        pub head_timeout_ms: u64,
        /// Time after which an idle connection is closed, in milliseconds.
        pub idle_timeout_ms: u64,
    }

    /// A service that takes part of a route's requests.
    pub struct RouteTarget {
        /// Name of the service.
        pub service: ServiceName,
        /// Part of the requests, relative to the sum over the route's targets.
        pub weight: u32,
    }

    /// Maps requests by host name and path to services.
    pub struct RouteRule {
        /// Start of the path; begins and ends with a slash.
        pub path_prefix: String,
        /// How the requests are treated; its name is the route's.
        pub policy: ClassPolicy,
        /// Services that share the requests.
        pub targets: Vec<RouteTarget>,
    }

    /// Routes of one host name.
    pub struct VirtualHostSection {
        /// The host name.
        pub host: VirtualHostName,
        /// Its routes.
        pub routes: Vec<RouteRule>,
    }

    /// What holds for one service.
    pub struct ServiceSection {
        /// Name of the service.
        pub service: ServiceName,
        /// Whether the upstream's own refusals prove that it did not run the request.
        pub refusals: RefusalTrust,
        /// How requests map to classes.
        pub rules: Vec<ClassRule>,
        /// Connections that one upstream accepts, if it is known.
        #[serde(default)]
        pub max_connections: Option<u32>,
        /// Path at which an upstream tells whether it serves, if it does.
        #[serde(default)]
        pub health_path: Option<String>,
    }

    /// A section of either kind.
    pub enum Section {
        /// What holds for all services.
        Global(GlobalSection),
        /// What holds for one service.
        Service(ServiceSection),
        /// Routes of one host name.
        VirtualHost(VirtualHostSection),
    }
}

/// Name of a section, written `global`, `service/NAME` or `host/NAME`.
#[derive(
    Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, serde::Serialize, serde::Deserialize,
)]
#[serde(into = "String", try_from = "String")]
pub enum SectionName {
    /// What holds for all services.
    Global,
    /// What holds for one service.
    Service(ServiceName),
    /// Routes of one host name.
    VirtualHost(VirtualHostName),
}

/// name of a section is neither "global" nor "service/NAME" nor "host/NAME"
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
pub struct SectionNameError;

impl std::error::Error for SectionNameError {}

impl fmt::Display for SectionName {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            SectionName::Global => f.write_str("global"),
            SectionName::Service(service) => write!(f, "service/{service}"),
            SectionName::VirtualHost(host) => write!(f, "host/{host}"),
        }
    }
}

impl From<SectionName> for String {
    fn from(name: SectionName) -> String {
        name.to_string()
    }
}

impl TryFrom<String> for SectionName {
    type Error = SectionNameError;

    fn try_from(text: String) -> Result<SectionName, SectionNameError> {
        if text == "global" {
            return Ok(SectionName::Global);
        }
        if let Some(host) = text.strip_prefix("host/") {
            let host = VirtualHostName::new(host).map_err(|_| SectionNameError)?;
            return Ok(SectionName::VirtualHost(host));
        }
        let service = text.strip_prefix("service/").ok_or(SectionNameError)?;
        let service = ServiceName::new(service).map_err(|_| SectionNameError)?;
        Ok(SectionName::Service(service))
    }
}

impl SectionDigest {
    /// Digests the stored form of a section.
    pub fn of(stored: &str) -> SectionDigest {
        let mut digest = [0; 16];
        digest.copy_from_slice(&blake3::hash(stored.as_bytes()).as_bytes()[..16]);
        SectionDigest(u128::from_le_bytes(digest))
    }
}

impl fmt::Display for SectionDigest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:032x}", self.0)
    }
}

impl Section {
    /// Returns the name.
    pub fn name(&self) -> SectionName {
        match self {
            Section::Global(_) => SectionName::Global,
            Section::Service(section) => SectionName::Service(section.service.clone()),
            Section::VirtualHost(section) => SectionName::VirtualHost(section.host.clone()),
        }
    }

    /// Returns the stored form, JSON.
    pub fn to_stored(&self) -> String {
        // Invariant: sections hold no map with keys other than text, so this cannot fail.
        serde_json::to_string(self).expect("a section is always representable as JSON")
    }

    /// Reads the stored form.
    pub fn from_stored(stored: &str) -> Result<Section, serde_json::Error> {
        serde_json::from_str(stored)
    }
}
