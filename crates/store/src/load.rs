//! Reads of the configuration.

use std::cmp::Ordering;
use std::time::Duration;

use displaydoc::Display;
use snipehollow_config::model::{
    Change, ConfigDelta, ConfigState, Head, Index, SectionName, SectionRef, SectionValue,
};

use crate::client::{KvStore, Version};
use crate::commit::{index_key, section_key, write_index};
use crate::{HEAD_KEY, StoreError};

/// Why the configuration could not be read.
#[derive(Clone, Debug, Display, PartialEq, Eq)]
pub enum LoadError {
    /// cannot read the configuration: {0}
    Store(StoreError),
    /// the head names {0}, which does not exist
    Missing(String),
}

impl std::error::Error for LoadError {}

impl From<StoreError> for LoadError {
    fn from(err: StoreError) -> LoadError {
        LoadError::Store(err)
    }
}

/// Reads the head and its version; `None` before the first commit.
pub fn load_head(store: &dyn KvStore) -> Result<(Option<Head>, Version), StoreError> {
    match store.get(HEAD_KEY)? {
        Some(found) => Ok((Some(parse(HEAD_KEY, &found.value)?), found.version)),
        None => Ok((None, Version::ABSENT)),
    }
}

/// Waits for a head whose version is not `known`.
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

/// Reads what brings a node from the revision in force to the head.
///
/// Only changed sections are read if the head lists all changes since then.
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

/// Tells what a store that holds `head` needs from a node.
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

/// What a store needs from a node.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RepairAction {
    /// Nothing.
    None,
    /// The store lost data: what is in force has to be written back.
    WriteBack,
    /// The store lost data, and another change took a revision's number since: the store's
    /// change has to be issued under a new number.
    Recommit,
}

/// Issues the store's newest configuration again under the next revision, so that nodes with
/// another change under the same number take it; returns true if that took effect.
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
    // Older changes are left out: nodes that hold others by the same numbers need all of it.
    let head = Head { revision, recent: vec![change], index, content: head.content };
    Ok(store.put(HEAD_KEY, &to_json(&head), version)?.is_some())
}

/// Writes the configuration in force at a node back to a store that came back with an older
/// one, or with none; returns true if the store has it now.
///
/// The head is swapped only from the version that was found to be older, so a commit that
/// happens meanwhile is not overwritten.
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

/// Returns every section at the head: the index and the changes after it.
pub(crate) fn all_sections(store: &dyn KvStore, head: &Head) -> Result<Vec<SectionRef>, LoadError> {
    let key = index_key(head.index.digest);
    let found = store.get(&key)?.ok_or_else(|| LoadError::Missing(key.clone()))?;
    let index: Index = parse(&key, &found.value)?;
    let later = head.changes_after(head.index.revision).unwrap_or(&[]);
    let mut refs = index.sections;
    refs.extend(later.iter().flat_map(|change| change.sections.clone()));
    Ok(newest(refs))
}

/// Keeps the last reference of each section, in order of the names.
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
    // Invariant: stored types hold no map with keys other than text, so this cannot fail.
    serde_json::to_string(value).expect("a stored value is always representable as JSON")
}
