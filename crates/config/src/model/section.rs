//! Sections: the units of the configuration that are stored and changed independently.

use std::fmt;

use displaydoc::Display;
use snipehollow_core::class::{ClassPolicy, ClassRule};
use snipehollow_core::ids::{RegionName, ServiceName, VirtualHostName};
use snipehollow_core::outcome::RefusalTrust;
use snipehollow_core::{data_type, key_type};

use super::stop::PlannedStop;

fn is_zero(number: &u32) -> bool {
    *number == 0
}

key_type! {
    /// Digest of a section's stored form: the first 16 bytes of its BLAKE3 hash.
    pub struct SectionDigest(u128);
}

data_type! {
    /// Bandwidth budget for the link from one region to another.
    pub struct LinkBudgetRow {
        /// Sending region.
        pub from: RegionName,
        /// Receiving region.
        pub to: RegionName,
        /// Budget in bytes per second, shared by all nodes of the sending region.
        pub bytes_per_second: u64,
    }

    /// Configuration that applies to all services.
    #[derive(Default)]
    pub struct GlobalSection {
        /// Policies of the request classes.
        pub classes: Vec<ClassPolicy>,
        /// Bandwidth budgets of the links between regions.
        pub links: Vec<LinkBudgetRow>,
        /// Planned stops of hosts, zones or services.
        pub stops: Vec<PlannedStop>,
        /// Limits for callers; `None` if only the node's settings apply.
        #[serde(default)]
        pub caller_limits: Option<CallerLimits>,
        /// Number of entries of the operators' configuration that could not be read. While it is
        /// not 0, a request that no route matches may belong to one of them.
        #[serde(default, skip_serializing_if = "is_zero")]
        pub unreadable_entries: u32,
    }

    /// Limits on the size and duration of requests from callers.
    pub struct CallerLimits {
        /// Maximum size of a request's head, in bytes; the larger of this and the node's setting
        /// applies.
        pub max_head_bytes: usize,
        /// Maximum size of a request's body, in bytes; replaces the node's setting.
        pub max_body_bytes: usize,
        /// Time limit for receiving a request's head, in milliseconds. Nodes do not read it: they
        /// apply the idle timeout to receiving a head as well.
        pub head_timeout_ms: u64,
        /// Time after which an idle connection is closed, in milliseconds; the longer of this and
        /// the node's head timeout applies.
        pub idle_timeout_ms: u64,
    }

    /// A service that receives a share of a route's requests.
    pub struct RouteTarget {
        /// Service that receives the requests.
        pub service: ServiceName,
        /// Weight of the target, relative to the sum of the weights of the route's targets.
        pub weight: u32,
    }

    /// Maps requests with a certain path prefix to services.
    pub struct RouteRule {
        /// Path prefix that requests must have; begins and ends with a slash.
        pub path_prefix: String,
        /// Class policy of the requests; its name is also the name of the route.
        pub policy: ClassPolicy,
        /// Services that the requests are distributed over by weight.
        pub targets: Vec<RouteTarget>,
    }

    /// Routes of one virtual host.
    pub struct VirtualHostSection {
        /// Host name by which callers address the virtual host.
        pub host: VirtualHostName,
        /// Routes of the virtual host, in any order.
        pub routes: Vec<RouteRule>,
    }

    /// Configuration of one service.
    pub struct ServiceSection {
        /// Name of the service.
        pub service: ServiceName,
        /// Whether a refusal by the upstream itself proves that it did not run the request.
        pub refusals: RefusalTrust,
        /// Rules that map the requests of the service to classes.
        pub rules: Vec<ClassRule>,
        /// Maximum number of connections that one upstream accepts; `None` if unknown.
        #[serde(default)]
        pub max_connections: Option<u32>,
        /// Path of the upstream's health check; `None` if it has none.
        #[serde(default)]
        pub health_path: Option<String>,
    }

    /// A section of any kind.
    pub enum Section {
        /// Configuration that applies to all services.
        Global(GlobalSection),
        /// Configuration of one service.
        Service(ServiceSection),
        /// Routes of one virtual host.
        VirtualHost(VirtualHostSection),
    }
}

/// Name of a section, written `global`, `service/NAME` or `host/NAME`.
#[derive(
    Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, serde::Serialize, serde::Deserialize,
)]
#[serde(into = "String", try_from = "String")]
pub enum SectionName {
    /// The section that applies to all services.
    Global,
    /// The section of one service.
    Service(ServiceName),
    /// The section with the routes of one virtual host.
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
    /// Returns the digest of a stored form.
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
    /// Returns the name of the section.
    pub fn name(&self) -> SectionName {
        match self {
            Section::Global(_) => SectionName::Global,
            Section::Service(section) => SectionName::Service(section.service.clone()),
            Section::VirtualHost(section) => SectionName::VirtualHost(section.host.clone()),
        }
    }

    /// Returns the section as JSON, the form in which it is stored.
    pub fn to_stored(&self) -> String {
        // Invariant: all map keys in a section are strings, so serialization cannot fail.
        serde_json::to_string(self).expect("a section can always be represented as JSON")
    }

    /// Parses the stored form of a section.
    ///
    /// # Errors
    ///
    /// Returns the parser's error if the text is not the JSON form of a section.
    pub fn from_stored(stored: &str) -> Result<Section, serde_json::Error> {
        serde_json::from_str(stored)
    }
}
