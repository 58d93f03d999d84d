//! Control addresses by which a starting node finds its zone.

use std::net::SocketAddr;

use snipehollow_core::data_type;
use snipehollow_core::ids::{RegionName, ZoneName};

use crate::StoreError;
use crate::client::{KvStore, Version};
use crate::load::{parse, to_json};

data_type! {
    /// A few members of one zone.
    pub struct SeedList {
        /// The zone.
        pub zone: ZoneName,
        /// Its region.
        pub region: RegionName,
        /// Control addresses.
        pub addrs: Vec<SocketAddr>,
    }
}

/// Reads the seeds of a zone and their version.
pub fn load_seeds(
    store: &impl KvStore,
    zone: &ZoneName,
) -> Result<(Option<SeedList>, Version), StoreError> {
    let key = seeds_key(zone);
    match store.get(&key)? {
        Some(found) => Ok((Some(parse(&key, &found.value)?), found.version)),
        None => Ok((None, Version::ABSENT)),
    }
}

/// Writes the seeds of a zone if they differ; a lost race does no harm.
///
/// Returns true if the store now holds these seeds.
pub fn publish_seeds(store: &impl KvStore, seeds: &SeedList) -> Result<bool, StoreError> {
    let (found, version) = load_seeds(store, &seeds.zone)?;
    if found.as_ref() == Some(seeds) {
        return Ok(true);
    }
    Ok(store.put(&seeds_key(&seeds.zone), &to_json(seeds), version)?.is_some())
}

fn seeds_key(zone: &ZoneName) -> String {
    format!("seeds/{zone}")
}
