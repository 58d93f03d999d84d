//! Seed lists: control addresses through which a starting node joins its zone and finds others.

use std::net::SocketAddr;

use snipehollow_core::data_type;
use snipehollow_core::ids::{RegionName, ZoneName};

use crate::StoreError;
use crate::client::{KvStore, Version};
use crate::load::{parse, to_json};

/// Key prefix of the seed lists; the name of the zone follows.
const SEEDS_PREFIX: &str = "seeds/";

data_type! {
    /// Control addresses of a few members of one zone.
    pub struct SeedList {
        /// Availability zone of the members.
        pub zone: ZoneName,
        /// Region of the zone.
        pub region: RegionName,
        /// Control addresses of the members.
        #[serde(deserialize_with = "snipehollow_core::lenient::readable_entries")]
        pub addrs: Vec<SocketAddr>,
    }
}

/// Reads the seed lists of all zones, each with its version.
///
/// A list that cannot be parsed is left out and reported by a call of `on_malformed`.
pub fn load_all_seeds(
    store: &dyn KvStore,
    mut on_malformed: impl FnMut(&StoreError),
) -> Result<Vec<(SeedList, Version)>, StoreError> {
    let mut lists = Vec::new();
    for found in store.list(SEEDS_PREFIX)? {
        match parse::<SeedList>(&found.key, &found.value) {
            Ok(seeds) => lists.push((seeds, found.version)),
            Err(err) => on_malformed(&err),
        }
    }
    Ok(lists)
}

/// Writes the seed list of a zone if the stored one still has version `known`.
///
/// Returns whether the write took effect; `false` means that another node wrote first.
pub fn publish_seeds(
    store: &dyn KvStore,
    seeds: &SeedList,
    known: Version,
) -> Result<bool, StoreError> {
    let key = format!("{SEEDS_PREFIX}{}", seeds.zone);
    Ok(store.put(&key, &to_json(seeds), known)?.is_some())
}
