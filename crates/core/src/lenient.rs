//! Lists in JSON messages whose entries may come from another writer or a later version.
//!
//! An entry that cannot be read must not hide the others, nor make a node ignore whole messages.

use std::sync::atomic::{AtomicU64, Ordering};

use serde::de::DeserializeOwned;
use serde::{Deserialize, Deserializer};
use serde_json::value::RawValue;

static UNREADABLE: AtomicU64 = AtomicU64::new(0);

/// Deserializes the entries of a JSON list that can be read, and counts the others; for use in
/// `#[serde(deserialize_with = "...")]`.
///
/// Entries may be nested to any depth, and may hold numbers of any size.
///
/// # Errors
///
/// Returns an error if the value is not a list.
///
/// ```
/// use serde::Deserialize;
/// use snipehollow_core::lenient;
///
/// #[derive(Deserialize)]
/// struct Ports {
///     #[serde(deserialize_with = "lenient::readable_entries")]
///     ports: Vec<u16>,
/// }
///
/// let before = lenient::unreadable_entries();
/// let ports: Ports = serde_json::from_str(r#"{"ports":[80,70000,[[]],443]}"#).unwrap();
/// assert_eq!(ports.ports, [80, 443]);
/// assert_eq!(lenient::unreadable_entries() - before, 2);
/// ```
pub fn readable_entries<'de, D, T>(de: D) -> Result<Vec<T>, D::Error>
where
    D: Deserializer<'de>,
    T: DeserializeOwned,
{
    let entries = Vec::<Box<RawValue>>::deserialize(de)?;
    let read = |entry: Box<RawValue>| {
        let read = serde_json::from_str(entry.get());
        if read.is_err() {
            UNREADABLE.fetch_add(1, Ordering::Relaxed);
        }
        read.ok()
    };
    Ok(entries.into_iter().filter_map(read).collect())
}

/// Returns the number of entries that [`readable_entries`] left out since the process started.
pub fn unreadable_entries() -> u64 {
    UNREADABLE.load(Ordering::Relaxed)
}
