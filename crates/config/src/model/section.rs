//! Sections: the parts of the configuration that change on their own.

use std::fmt;

use displaydoc::Display;
use snipehollow_core::class::{ClassPolicy, ClassRule};
use snipehollow_core::ids::{RegionName, ServiceName};
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
    }

    /// What holds for one service.
    pub struct ServiceSection {
        /// Name of the service.
        pub service: ServiceName,
        /// Whether the upstream's own refusals prove that it did not run the request.
        pub refusals: RefusalTrust,
        /// How requests map to classes.
        pub rules: Vec<ClassRule>,
    }

    /// A section of either kind.
    pub enum Section {
        /// What holds for all services.
        Global(GlobalSection),
        /// What holds for one service.
        Service(ServiceSection),
    }
}

/// Name of a section, written `global` or `service/NAME`.
#[derive(
    Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, serde::Serialize, serde::Deserialize,
)]
#[serde(into = "String", try_from = "String")]
pub enum SectionName {
    /// What holds for all services.
    Global,
    /// What holds for one service.
    Service(ServiceName),
}

/// name of a section is neither "global" nor "service/NAME"
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
pub struct SectionNameError;

impl std::error::Error for SectionNameError {}

impl fmt::Display for SectionName {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            SectionName::Global => f.write_str("global"),
            SectionName::Service(service) => write!(f, "service/{service}"),
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
