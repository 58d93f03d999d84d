//! Departures of the upstreams of one host, which outlive the node's process in the store.

use snipehollow_core::data_type;
use snipehollow_core::ids::HostName;
use snipehollow_core::membership::RecordedDeparture;

use crate::StoreError;
use crate::client::{KvStore, Version};
use crate::load::{parse, to_json};

/// Key prefix of the departures; the name of the host follows.
const DEPARTURES_PREFIX: &str = "departures/";
/// Maximum number of departures that are kept for a host; the oldest are dropped.
const MAX_RECORDED: usize = 16;
/// Number of attempts to write, which fail while another process of the host writes too.
const MAX_ATTEMPTS: u32 = 3;

data_type! {
    /// Stored value: the departures of one host, oldest first.
    struct HostDepartures {
        #[serde(deserialize_with = "snipehollow_core::lenient::readable_entries")]
        departures: Vec<RecordedDeparture>,
    }
}

/// Reads the recorded departures of a host.
///
/// # Errors
///
/// Returns an error if the store cannot be read, or if the value cannot be parsed.
pub fn load_departures(
    store: &dyn KvStore,
    host: &HostName,
) -> Result<Vec<RecordedDeparture>, StoreError> {
    let key = key(host);
    match store.get(&key)? {
        Some(found) => Ok(parse::<HostDepartures>(&key, &found.value)?.departures),
        None => Ok(Vec::new()),
    }
}

/// Adds departures to the recorded ones of a host, and drops those that have expired by the Unix
/// time `unix_ms`, in milliseconds. A value that cannot be parsed is replaced.
///
/// Returns whether the departures were written; `false` means that other writes kept coming first.
pub fn add_departures(
    store: &dyn KvStore,
    host: &HostName,
    added: &[RecordedDeparture],
    unix_ms: u64,
) -> Result<bool, StoreError> {
    let key = key(host);
    for _ in 0..MAX_ATTEMPTS {
        let found = store.get(&key)?;
        let version = found.as_ref().map_or(Version::ABSENT, |found| found.version);
        let known = found.and_then(|found| parse::<HostDepartures>(&key, &found.value).ok());
        let mut departures = known.map_or_else(Vec::new, |known| known.departures);
        departures.retain(|departure| departure.time_left(unix_ms).is_some());
        departures.extend_from_slice(added);
        departures.drain(..departures.len().saturating_sub(MAX_RECORDED));
        if store.put(&key, &to_json(&HostDepartures { departures }), version)?.is_some() {
            return Ok(true);
        }
    }
    Ok(false)
}

fn key(host: &HostName) -> String {
    format!("{DEPARTURES_PREFIX}{host}")
}
