//! Reads the configuration from the store, and repairs a store that lost data.

use std::cmp::Ordering;
use std::time::Duration;

use displaydoc::Display;
use snipehollow_config::model::{
    Change, ConfigDelta, ConfigState, Head, Index, SectionName, SectionRef, SectionValue,
};

use crate::client::{KvStore, Version};
use crate::commit::{index_key, section_key, write_index};
use crate::{HEAD_KEY, StoreError};

/// Reason why the configuration could not be read.
#[derive(Clone, Debug, Display, PartialEq, Eq)]
pub enum LoadError {
    /// cannot read the configuration from the store: {0}
    Store(StoreError),
    /// the head refers to {0}, which does not exist in the store
    Missing(String),
}

impl std::error::Error for LoadError {}

impl From<StoreError> for LoadError {
    fn from(err: StoreError) -> LoadError {
        LoadError::Store(err)
    }
}

/// Reads the head and its version. The head is `None` before the first commit.
pub fn load_head(store: &dyn KvStore) -> Result<(Option<Head>, Version), StoreError> {
    match store.get(HEAD_KEY)? {
        Some(found) => Ok((Some(parse(HEAD_KEY, &found.value)?), found.version)),
        None => Ok((None, Version::ABSENT)),
    }
}

/// Waits until the head's version differs from `known`, and returns the new head.
///
/// Returns `None` if there was no change within `wait`.
pub fn watch_head(
    store: &dyn KvStore,
    known: Version,
    wait: Duration,
) -> Result<Option<(Head, Version)>, StoreError> {
    match store.watch(HEAD_KEY, known, wait)? {
        Some(found) => Ok(Some((parse(HEAD_KEY, &found.value)?, found.version))),
        None => Ok(None),
    }
}

/// Reads the delta from the configuration in force at a node to the head.
///
/// Only changed sections are included if the head lists all changes since the revision in
/// force; otherwise all sections are. Sections that the node already has are not read again.
pub fn load_delta(
    store: &dyn KvStore,
    head: &Head,
    in_force: &ConfigState,
) -> Result<ConfigDelta, LoadError> {
    let since = in_force.revision();
    let changes = if since == 0 { None } else { head.changes_after(since) };
    let (since, refs) = match changes {
        Some(changes) => {
            (Some(since), changes.iter().flat_map(|change| change.sections.clone()).collect())
        }
        None => (None, all_sections(store, head)?),
    };
    let sections = newest(refs)
        .into_iter()
        .map(|section| load_section(store, section, in_force))
        .collect::<Result<_, _>>()?;
    Ok(ConfigDelta { head: head.clone(), since, sections })
}

/// Returns the repair that a store with the given head needs from a node.
///
/// ```
/// use snipehollow_config::model::ConfigState;
/// use snipehollow_store::{RepairAction, repair_action};
///
/// assert_eq!(repair_action(None, &ConfigState::new()), RepairAction::None);
/// ```
pub fn repair_action(head: Option<&Head>, in_force: &ConfigState) -> RepairAction {
    let revision = head.map_or(0, |head| head.revision);
    match revision.cmp(&in_force.revision()) {
        Ordering::Less => RepairAction::WriteBack,
        Ordering::Equal if head.map(Head::change_id) != in_force.head().map(Head::change_id) => {
            RepairAction::Recommit
        }
        _ => RepairAction::None,
    }
}

/// Repair of a store that lost data.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RepairAction {
    /// No repair is needed.
    None,
    /// The store has an older revision than the node, or none: the node writes the configuration
    /// in force back, see [`write_back_config`].
    WriteBack,
    /// The store lost data, and a different change was then committed under a revision number
    /// that is already in force: the store's configuration must be committed again under a new
    /// number, see [`recommit_head`].
    Recommit,
}

/// Commits the store's newest configuration again under the next revision number.
///
/// Nodes that have a different change under the current number then apply it. Returns whether
/// the commit took effect; `false` means that the head changed in the meantime.
pub fn recommit_head(
    store: &dyn KvStore,
    head: &Head,
    version: Version,
) -> Result<bool, LoadError> {
    let sections = all_sections(store, head)?;
    let revision = head.revision + 1;
    let index = write_index(store, revision, sections.clone())?;
    let change = Change {
        revision,
        change_id: format!("reissue-{}", head.change_id()),
        author: "repair of the store".into(),
        at: head.last().map_or(0, |change| change.at),
        sections,
    };
    // Older changes are left out, because nodes may have different changes under the same
    // revision numbers: without them, every node loads all sections.
    let head = Head { revision, recent: vec![change], index, content: head.content };
    Ok(store.put(HEAD_KEY, &to_json(&head), version)?.is_some())
}

/// Writes the configuration in force at a node back to a store that has an older one or none.
///
/// `older` is the version of the head that was found to be out of date. Only that version is
/// replaced, so a concurrent commit is not overwritten. Returns whether the write took effect;
/// `false` also if the node has no configuration.
pub fn write_back_config(
    store: &dyn KvStore,
    in_force: &ConfigState,
    older: Version,
) -> Result<bool, StoreError> {
    let Some(head) = in_force.head() else {
        return Ok(false);
    };
    let sections = in_force.section_refs();
    for section in &sections {
        if let (Some(digest), Some(stored)) = (section.digest, in_force.stored(&section.name)) {
            store.put(&section_key(digest), stored, Version::ABSENT)?;
        }
    }
    let index = write_index(store, head.revision, sections)?;
    let head = Head { index, ..head.clone() };
    Ok(store.put(HEAD_KEY, &to_json(&head), older)?.is_some())
}

/// Returns all sections at the head, from the index and the changes made after it.
pub(crate) fn all_sections(store: &dyn KvStore, head: &Head) -> Result<Vec<SectionRef>, LoadError> {
    let key = index_key(head.index.digest);
    let found = store.get(&key)?.ok_or_else(|| LoadError::Missing(key.clone()))?;
    let index: Index = parse(&key, &found.value)?;
    let later = head.changes_after(head.index.revision).unwrap_or(&[]);
    let mut refs = index.sections;
    refs.extend(later.iter().flat_map(|change| change.sections.clone()));
    Ok(newest(refs))
}

/// Returns the last reference to each section, sorted by name.
fn newest(refs: Vec<SectionRef>) -> Vec<SectionRef> {
    let by_name: std::collections::BTreeMap<SectionName, SectionRef> =
        refs.into_iter().map(|section| (section.name.clone(), section)).collect();
    by_name.into_values().collect()
}

fn load_section(
    store: &dyn KvStore,
    section: SectionRef,
    in_force: &ConfigState,
) -> Result<SectionValue, LoadError> {
    let Some(digest) = section.digest else {
        return Ok(SectionValue { name: section.name, stored: None });
    };
    if let Some(stored) = in_force.stored(&section.name)
        && snipehollow_config::model::SectionDigest::of(stored) == digest
    {
        return Ok(SectionValue { name: section.name, stored: Some(stored.to_owned()) });
    }
    let key = section_key(digest);
    let found = store.get(&key)?.ok_or(LoadError::Missing(key))?;
    Ok(SectionValue { name: section.name, stored: Some(found.value) })
}

pub(crate) fn parse<T: serde::de::DeserializeOwned>(
    key: &str,
    value: &str,
) -> Result<T, StoreError> {
    serde_json::from_str(value)
        .map_err(|err| StoreError::Malformed { key: key.into(), cause: err.to_string() })
}

pub(crate) fn to_json<T: serde::Serialize>(value: &T) -> String {
    // Invariant: all map keys in stored types are strings, so serialization cannot fail.
    serde_json::to_string(value).expect("a stored value can always be represented as JSON")
}
