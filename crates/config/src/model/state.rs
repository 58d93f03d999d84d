//! The configuration in force at a node, and the deltas by which it is updated.

use std::sync::Arc;

use displaydoc::Display;
use snipehollow_core::class::ClassPolicy;
use snipehollow_core::collections::FastMap;
use snipehollow_core::ids::{ClassName, ServiceName};
use snipehollow_core::{data_type, invariant};

use super::head::{Change, Head, IndexRef, RECENT_CHANGES, SectionRef};
use super::routes::RouteTable;
use super::section::{GlobalSection, Section, SectionDigest, SectionName, ServiceSection};

data_type! {
    /// A section with its stored form.
    pub struct SectionValue {
        /// Name of the section.
        pub name: SectionName,
        /// Stored form, JSON; `None` if the section was removed.
        pub stored: Option<String>,
    }

    /// Difference between two revisions of the configuration.
    pub struct ConfigDelta {
        /// Head of the newer revision.
        pub head: Head,
        /// Revision that the delta applies to; `None` if the delta contains all sections and
        /// applies to any revision.
        pub since: Option<u64>,
        /// Sections that differ between the two revisions.
        pub sections: Vec<SectionValue>,
    }
}

impl ConfigDelta {
    /// Creates a delta that contains all sections of a configuration.
    ///
    /// `revision` is the revision under which it was published, and `author` the party that
    /// published it.
    pub fn full(revision: u64, author: &str, sections: &[Section]) -> ConfigDelta {
        let values: Vec<SectionValue> = sections
            .iter()
            .map(|section| SectionValue { name: section.name(), stored: Some(section.to_stored()) })
            .collect();
        let refs: Vec<SectionRef> = values
            .iter()
            .map(|value| SectionRef {
                name: value.name.clone(),
                digest: value.stored.as_deref().map(SectionDigest::of),
            })
            .collect();
        let content = SectionRef::digest_all(&refs);
        let change = Change {
            revision,
            change_id: format!("{author}-{revision}"),
            author: author.into(),
            at: 0,
            sections: refs,
        };
        let index = IndexRef { revision, digest: content };
        let head = Head { revision, recent: vec![change], index, content };
        ConfigDelta { head, since: None, sections: values }
    }
}

/// Reason why a delta was not applied.
#[derive(Debug, Display)]
pub enum DeltaError {
    /// offered revision {offered} is not newer than revision {in_force}, which is in force
    NotNewer {
        /// Revision in force.
        in_force: u64,
        /// Revision of the delta.
        offered: u64,
    },
    /// delta applies to revision {since}, but revision {in_force} is in force
    BaseMismatch {
        /// Revision in force.
        in_force: u64,
        /// Revision that the delta applies to.
        since: u64,
    },
    /// delta does not produce the content of revision {offered}; a full delta is needed
    ContentMismatch {
        /// Revision of the delta.
        offered: u64,
    },
    /// section {name} contains a section of another name
    NameMismatch {
        /// Name under which the section was sent.
        name: SectionName,
    },
    /// cannot parse section {name}: {cause}
    Malformed {
        /// Name of the section.
        name: SectionName,
        /// Error of the parser.
        cause: serde_json::Error,
    },
}

impl std::error::Error for DeltaError {}

/// One revision of the configuration, parsed and indexed for lookup.
#[derive(Clone, Debug, Default)]
pub struct Config {
    /// Revision; 0 before the first configuration.
    pub revision: u64,
    /// Configuration that applies to all services.
    pub global: Arc<GlobalSection>,
    classes: FastMap<ClassName, Arc<ClassPolicy>>,
    services: FastMap<ServiceName, Arc<ServiceSection>>,
    routes: RouteTable,
}

impl Config {
    /// Returns the policy of a class, or `None` if the class does not exist.
    pub fn class(&self, name: &ClassName) -> Option<&Arc<ClassPolicy>> {
        self.classes.get(name)
    }

    /// Returns the section of a service, or `None` if the service is not configured.
    pub fn service(&self, name: &ServiceName) -> Option<&Arc<ServiceSection>> {
        self.services.get(name)
    }

    /// Returns the routes of all virtual hosts.
    pub fn routes(&self) -> &RouteTable {
        &self.routes
    }

    /// Returns the class of a request, or `None` if no rule matches it.
    ///
    /// The rule with the longest matching path prefix decides; among prefixes of equal length, a
    /// rule that names the method takes precedence over one for any method.
    pub fn classify(
        &self,
        service: &ServiceName,
        method: &str,
        path: &str,
    ) -> Option<&Arc<ClassPolicy>> {
        let rules = &self.services.get(service)?.rules;
        let rule = rules
            .iter()
            .filter(|rule| rule.matches(method, path))
            .max_by_key(|rule| (rule.path_prefix.len(), rule.method != "*"))?;
        self.classes.get(&rule.class)
    }
}

#[derive(Clone, Debug)]
struct StoredSection {
    digest: SectionDigest,
    stored: Arc<str>,
    section: Arc<Section>,
}

/// Configuration in force at a node. Its revision never decreases.
#[derive(Clone, Debug, Default)]
pub struct ConfigState {
    head: Option<Head>,
    sections: FastMap<SectionName, StoredSection>,
}

impl ConfigState {
    /// Creates the state of a node that has no configuration.
    pub fn new() -> ConfigState {
        ConfigState::default()
    }

    /// Returns the revision in force; 0 before the first configuration.
    pub fn revision(&self) -> u64 {
        self.head.as_ref().map_or(0, |head| head.revision)
    }

    /// Returns the head in force, or `None` before the first configuration.
    pub fn head(&self) -> Option<&Head> {
        self.head.as_ref()
    }

    /// Returns all sections with their digests, sorted by name.
    pub fn section_refs(&self) -> Vec<SectionRef> {
        let mut refs = refs(&self.sections);
        refs.sort_by(|a, b| a.name.cmp(&b.name));
        refs
    }

    /// Returns the stored form of a section, or `None` if the section does not exist.
    pub fn stored(&self, name: &SectionName) -> Option<&str> {
        self.sections.get(name).map(|section| &*section.stored)
    }

    /// Returns the delta for a node at revision `since`, or `None` if that node is up to date.
    ///
    /// The delta contains all sections if the changes since that revision are no longer listed.
    pub fn delta_since(&self, since: u64) -> Option<ConfigDelta> {
        let head = self.head.as_ref()?;
        if head.revision <= since {
            return None;
        }
        let changes = if since == 0 { None } else { head.changes_after(since) };
        let Some(changes) = changes else {
            let names = self.sections.keys().cloned().collect();
            return Some(self.delta(head, None, names));
        };
        let mut names: Vec<SectionName> =
            changes.iter().flat_map(|c| c.sections.iter().map(|s| s.name.clone())).collect();
        names.sort_unstable();
        names.dedup();
        Some(self.delta(head, Some(since), names))
    }

    /// Applies a delta atomically.
    ///
    /// # Errors
    ///
    /// Returns an error if the delta is not newer, applies to another revision, contains a
    /// malformed section, or does not produce the content that its head describes. The state is
    /// then unchanged. Except for a delta that is not newer, a full delta may succeed.
    pub fn apply(&mut self, delta: &ConfigDelta) -> Result<(), DeltaError> {
        let in_force = self.revision();
        if delta.head.revision <= in_force {
            return Err(DeltaError::NotNewer { in_force, offered: delta.head.revision });
        }
        if let Some(since) = delta.since.filter(|since| *since != in_force) {
            return Err(DeltaError::BaseMismatch { in_force, since });
        }
        let sections = self.next_sections(delta)?;
        if SectionRef::digest_all(&refs(&sections)) != delta.head.content {
            return Err(DeltaError::ContentMismatch { offered: delta.head.revision });
        }
        self.sections = sections;
        self.head = Some(self.merged_head(delta));
        invariant!(self.revision() > in_force, "revision did not increase from {in_force}");
        Ok(())
    }

    /// Returns the configuration in parsed form, indexed for lookup.
    pub fn config(&self) -> Config {
        let mut config = Config { revision: self.revision(), ..Config::default() };
        for stored in self.sections.values() {
            match &*stored.section {
                Section::Global(global) => {
                    config.global = Arc::new(global.clone());
                    for class in &global.classes {
                        config.classes.insert(class.name.clone(), Arc::new(class.clone()));
                    }
                }
                Section::Service(service) => {
                    config.services.insert(service.service.clone(), Arc::new(service.clone()));
                }
                Section::VirtualHost(host) => config.routes.insert(host),
            }
        }
        config
    }

    fn delta(&self, head: &Head, since: Option<u64>, names: Vec<SectionName>) -> ConfigDelta {
        let sections = names
            .into_iter()
            .map(|name| {
                let stored = self.stored(&name).map(str::to_owned);
                SectionValue { name, stored }
            })
            .collect();
        let mut head = head.clone();
        if let Some(since) = since {
            // The receiver already has the older changes.
            head.recent.retain(|change| change.revision > since);
        }
        ConfigDelta { head, since, sections }
    }

    /// Returns the head of a delta, with the older changes that this node knows prepended.
    fn merged_head(&self, delta: &ConfigDelta) -> Head {
        let mut head = delta.head.clone();
        let (Some(since), Some(known)) = (delta.since, &self.head) else {
            return head;
        };
        head.recent.retain(|change| change.revision > since);
        let older = known.recent.iter().filter(|change| change.revision <= since).cloned();
        let mut recent: Vec<Change> = older.chain(head.recent).collect();
        let excess = recent.len().saturating_sub(RECENT_CHANGES);
        recent.drain(..excess);
        head.recent = recent;
        head
    }

    fn next_sections(
        &self,
        delta: &ConfigDelta,
    ) -> Result<FastMap<SectionName, StoredSection>, DeltaError> {
        let mut sections = match delta.since {
            Some(_) => self.sections.clone(),
            None => FastMap::default(),
        };
        for value in &delta.sections {
            match &value.stored {
                Some(stored) => {
                    sections.insert(value.name.clone(), read_section(&value.name, stored)?);
                }
                None => {
                    sections.remove(&value.name);
                }
            }
        }
        Ok(sections)
    }
}

fn read_section(name: &SectionName, stored: &str) -> Result<StoredSection, DeltaError> {
    let section = Section::from_stored(stored)
        .map_err(|cause| DeltaError::Malformed { name: name.clone(), cause })?;
    if section.name() != *name {
        return Err(DeltaError::NameMismatch { name: name.clone() });
    }
    Ok(StoredSection {
        digest: SectionDigest::of(stored),
        stored: stored.into(),
        section: Arc::new(section),
    })
}

fn refs(sections: &FastMap<SectionName, StoredSection>) -> Vec<SectionRef> {
    sections
        .iter()
        .map(|(name, section)| SectionRef { name: name.clone(), digest: Some(section.digest) })
        .collect()
}
