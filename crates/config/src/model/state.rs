//! Configuration in force at a node.

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
    /// A section in its stored form.
    pub struct SectionValue {
        /// Name of the section.
        pub name: SectionName,
        /// Stored form; `None` if the section was removed.
        pub stored: Option<String>,
    }

    /// What brings a node from one revision to another.
    pub struct ConfigDelta {
        /// Head at the newer revision.
        pub head: Head,
        /// Revision that the delta starts from; `None` if it lists every section.
        pub since: Option<u64>,
        /// Sections that differ.
        pub sections: Vec<SectionValue>,
    }
}

impl ConfigDelta {
    /// Creates the delta of a configuration that is published whole under a revision.
    ///
    /// `author` names who published it.
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

/// Why a delta was not taken.
#[derive(Debug, Display)]
pub enum DeltaError {
    /// revision {offered} is not above revision {in_force} in force
    NotNewer {
        /// Revision in force.
        in_force: u64,
        /// Revision that was offered.
        offered: u64,
    },
    /// delta starts from revision {since}, but revision {in_force} is in force
    BaseMismatch {
        /// Revision in force.
        in_force: u64,
        /// Revision that the delta starts from.
        since: u64,
    },
    /// the sections are not those of revision {offered}: the whole of it is needed
    ContentMismatch {
        /// Revision that was offered.
        offered: u64,
    },
    /// section {name} has the name of another one
    NameMismatch {
        /// Name of the section.
        name: SectionName,
    },
    /// section {name} cannot be read: {cause}
    Malformed {
        /// Name of the section.
        name: SectionName,
        /// Why.
        cause: serde_json::Error,
    },
}

impl std::error::Error for DeltaError {}

/// One revision of the configuration, ready for use.
#[derive(Clone, Debug, Default)]
pub struct Config {
    /// Revision; 0 before the first.
    pub revision: u64,
    /// What holds for all services.
    pub global: Arc<GlobalSection>,
    classes: FastMap<ClassName, Arc<ClassPolicy>>,
    services: FastMap<ServiceName, Arc<ServiceSection>>,
    routes: RouteTable,
}

impl Config {
    /// Returns a class.
    pub fn class(&self, name: &ClassName) -> Option<&Arc<ClassPolicy>> {
        self.classes.get(name)
    }

    /// Returns the section of a service.
    pub fn service(&self, name: &ServiceName) -> Option<&Arc<ServiceSection>> {
        self.services.get(name)
    }

    /// Returns the routes by host name and path.
    pub fn routes(&self) -> &RouteTable {
        &self.routes
    }

    /// Finds the class of a request: the rule with the longest prefix, and of two equally
    /// long ones the rule that names the method.
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

/// State that follows revisions and never goes back.
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

    /// Returns the revision in force; 0 before the first.
    pub fn revision(&self) -> u64 {
        self.head.as_ref().map_or(0, |head| head.revision)
    }

    /// Returns the head in force.
    pub fn head(&self) -> Option<&Head> {
        self.head.as_ref()
    }

    /// Returns every section that exists and its digest, in order of the names.
    pub fn section_refs(&self) -> Vec<SectionRef> {
        let mut refs = refs(&self.sections);
        refs.sort_by(|a, b| a.name.cmp(&b.name));
        refs
    }

    /// Returns the stored form of a section.
    pub fn stored(&self, name: &SectionName) -> Option<&str> {
        self.sections.get(name).map(|section| &*section.stored)
    }

    /// Returns what a node at revision `since` lacks, or `None` if it lacks nothing.
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

    /// Takes in a delta whole, or not at all.
    ///
    /// Errors: the delta is not newer, starts elsewhere, or does not lead to the sections of
    /// its head; then a delta of all sections may. The state is unchanged.
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
        self.head = Some(self.joined_head(delta));
        invariant!(self.revision() > in_force, "revision fell below {in_force}");
        Ok(())
    }

    /// Returns the configuration ready for use.
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
            // The receiver has the older changes itself.
            head.recent.retain(|change| change.revision > since);
        }
        ConfigDelta { head, since, sections }
    }

    /// Joins the changes that are known here with those of a delta.
    fn joined_head(&self, delta: &ConfigDelta) -> Head {
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
