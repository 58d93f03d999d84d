//! Commits a configuration to the store by compare-and-swap of its head.

use displaydoc::Display;
use snipehollow_config::model::{
    Change, ConfigState, Head, Index, IndexRef, RECENT_CHANGES, Section, SectionDigest,
    SectionName, SectionRef,
};
use snipehollow_core::collections::FastMap;

use crate::client::{KvStore, Version};
use crate::load::{LoadError, all_sections, load_delta, load_head, to_json};
use crate::{HEAD_KEY, StoreError};

/// Number of commits after which a new index is written: half of [`RECENT_CHANGES`], so that the
/// head lists all changes made after its index.
const INDEX_INTERVAL: u64 = RECENT_CHANGES as u64 / 2;
/// Maximum number of attempts to determine the outcome of a swap whose response was lost.
const VERIFY_ATTEMPTS: usize = 5;

/// A configuration to commit.
#[derive(Clone, Debug)]
pub struct Commit<'a> {
    /// All sections of the new configuration; others are removed.
    pub sections: &'a [Section],
    /// Name of the operator who commits, recorded in the change.
    pub author: &'a str,
    /// Unique id of this commit, by which it is recognized after a lost response.
    pub change_id: &'a str,
    /// Unix time in seconds on the operator's clock, recorded in the change.
    pub at: u64,
    /// Revision that the operator based the change on; the commit fails with a conflict if the
    /// store has another one. `None` skips this check.
    pub base: Option<u64>,
    /// Highest revision known to be in force in the fleet, to detect a store that lost data.
    pub fleet_revision: u64,
}

/// Reason why a configuration was not committed.
#[derive(Clone, Debug, Display, PartialEq, Eq)]
pub enum CommitError {
    /// {0}
    Load(LoadError),
    /// conflict: revision {winner} by {author} was committed first
    Conflict {
        /// Revision that was committed first.
        winner: u64,
        /// Operator or process that committed it.
        author: String,
    },
    /// the store is at revision {store}, but the fleet is at {fleet}; a node will repair the store
    StoreBehind {
        /// Revision in the store.
        store: u64,
        /// Highest revision in force in the fleet.
        fleet: u64,
    },
    /// cannot determine whether revision {revision} was committed: {cause}
    OutcomeUnknown {
        /// Revision that the commit would have created.
        revision: u64,
        /// Error of the last attempt to find out.
        cause: StoreError,
    },
}

impl std::error::Error for CommitError {}

impl From<StoreError> for CommitError {
    fn from(err: StoreError) -> CommitError {
        CommitError::Load(LoadError::Store(err))
    }
}

impl From<LoadError> for CommitError {
    fn from(err: LoadError) -> CommitError {
        CommitError::Load(err)
    }
}

/// Commits a configuration atomically and returns the new head, or `None` if nothing changed.
///
/// If the response to the swap is lost, its outcome is determined by reading the head back and
/// searching it for the change id.
///
/// # Errors
///
/// Returns an error if another commit came first, the store is behind the fleet, or the store
/// failed. After [`CommitError::OutcomeUnknown`], the commit may have taken effect.
pub fn commit_sections(
    store: &dyn KvStore,
    commit: &Commit<'_>,
) -> Result<Option<Head>, CommitError> {
    let (head, version) = load_head(store)?;
    check_base(commit, head.as_ref())?;
    let existing = match &head {
        Some(head) => all_sections(store, head)?,
        None => Vec::new(),
    };
    let changed = changed_sections(commit.sections, &existing);
    if changed.is_empty() {
        return Ok(None);
    }
    write_sections(store, commit.sections, &changed)?;
    let revision = head.as_ref().map_or(0, |head| head.revision) + 1;
    let index = match &head {
        Some(head) if revision - head.index.revision < INDEX_INTERVAL => head.index.clone(),
        _ => write_index(store, revision, all_refs(commit.sections))?,
    };
    let next = next_head(commit, head.as_ref(), changed, index);
    swap(store, commit, next, version).map(Some)
}

pub(crate) fn section_key(digest: SectionDigest) -> String {
    format!("config/section/{digest}")
}

pub(crate) fn index_key(digest: SectionDigest) -> String {
    format!("config/index/{digest}")
}

/// Writes the index of a revision and returns a reference to it.
pub(crate) fn write_index(
    store: &dyn KvStore,
    revision: u64,
    sections: Vec<SectionRef>,
) -> Result<IndexRef, StoreError> {
    let stored = to_json(&Index { revision, sections });
    let digest = SectionDigest::of(&stored);
    // A conflict means that an identical index already exists.
    store.put(&index_key(digest), &stored, Version::ABSENT)?;
    Ok(IndexRef { revision, digest })
}

fn check_base(commit: &Commit<'_>, head: Option<&Head>) -> Result<(), CommitError> {
    let revision = head.map_or(0, |head| head.revision);
    if revision < commit.fleet_revision {
        return Err(CommitError::StoreBehind { store: revision, fleet: commit.fleet_revision });
    }
    match commit.base {
        Some(base) if base != revision => Err(conflict(head)),
        _ => Ok(()),
    }
}

fn conflict(head: Option<&Head>) -> CommitError {
    CommitError::Conflict {
        winner: head.map_or(0, |head| head.revision),
        author: head.and_then(Head::last).map_or(String::new(), |change| change.author.clone()),
    }
}

fn all_refs(sections: &[Section]) -> Vec<SectionRef> {
    let digest = |section: &Section| SectionDigest::of(&section.to_stored());
    let to_ref =
        |section| SectionRef { name: Section::name(section), digest: Some(digest(section)) };
    sections.iter().map(to_ref).collect()
}

fn changed_sections(sections: &[Section], existing: &[SectionRef]) -> Vec<SectionRef> {
    let old: FastMap<&SectionName, Option<SectionDigest>> =
        existing.iter().map(|section| (&section.name, section.digest)).collect();
    let new_refs = all_refs(sections);
    let mut changed: Vec<SectionRef> = new_refs
        .iter()
        .filter(|section| old.get(&section.name) != Some(&section.digest))
        .cloned()
        .collect();
    let removed = existing
        .iter()
        .filter(|old| old.digest.is_some() && !new_refs.iter().any(|new| new.name == old.name))
        .map(|old| SectionRef { name: old.name.clone(), digest: None });
    changed.extend(removed);
    changed
}

fn write_sections(
    store: &dyn KvStore,
    sections: &[Section],
    changed: &[SectionRef],
) -> Result<(), StoreError> {
    for section in sections {
        let stored = section.to_stored();
        let digest = SectionDigest::of(&stored);
        if changed.iter().any(|change| change.digest == Some(digest)) {
            // A conflict means that an identical value already exists.
            store.put(&section_key(digest), &stored, Version::ABSENT)?;
        }
    }
    Ok(())
}

fn next_head(
    commit: &Commit<'_>,
    head: Option<&Head>,
    changed: Vec<SectionRef>,
    index: IndexRef,
) -> Head {
    let revision = head.map_or(0, |head| head.revision) + 1;
    let mut recent = head.map_or_else(Vec::new, |head| head.recent.clone());
    recent.push(Change {
        revision,
        change_id: commit.change_id.into(),
        author: commit.author.into(),
        at: commit.at,
        sections: changed,
    });
    let excess = recent.len().saturating_sub(RECENT_CHANGES);
    recent.drain(..excess);
    let content = SectionRef::digest_all(&all_refs(commit.sections));
    Head { revision, recent, index, content }
}

/// Swaps the head. If the response is lost, determines the outcome by reading the head back.
fn swap(
    store: &dyn KvStore,
    commit: &Commit<'_>,
    next: Head,
    version: Version,
) -> Result<Head, CommitError> {
    let value = to_json(&next);
    let mut cause = match store.put(HEAD_KEY, &value, version) {
        Ok(Some(_)) => return Ok(next),
        Ok(None) => return resolve_conflict(store, commit, next),
        Err(err) => err,
    };
    for _ in 0..VERIFY_ATTEMPTS {
        cause = match load_head(store) {
            Ok((Some(head), _)) if head.contains(commit.change_id) => return Ok(next),
            Ok((head, found)) if found != version => return Err(conflict(head.as_ref())),
            Ok(_) => match store.put(HEAD_KEY, &value, version) {
                Ok(Some(_)) => return Ok(next),
                Ok(None) => return resolve_conflict(store, commit, next),
                Err(err) => err,
            },
            Err(err) => err,
        };
    }
    Err(CommitError::OutcomeUnknown { revision: next.revision, cause })
}

/// Determines the outcome of a swap that met a conflict.
///
/// The conflict may be with this same change, if the response to an earlier write was lost.
fn resolve_conflict(
    store: &dyn KvStore,
    commit: &Commit<'_>,
    next: Head,
) -> Result<Head, CommitError> {
    let (head, _) = load_head(store)?;
    match head {
        Some(head) if head.contains(commit.change_id) => Ok(next),
        head => Err(conflict(head.as_ref())),
    }
}

/// Reads the complete configuration from the store.
pub fn load_config(store: &dyn KvStore) -> Result<ConfigState, LoadError> {
    let mut state = ConfigState::new();
    let (head, _) = load_head(store)?;
    if let Some(head) = head {
        let delta = load_delta(store, &head, &state)?;
        state.apply(&delta).map_err(|err| LoadError::Missing(err.to_string()))?;
    }
    Ok(state)
}
