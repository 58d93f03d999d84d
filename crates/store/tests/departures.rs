//! Tests of the departures of a host's upstreams in the store.

use std::collections::HashMap;
use std::sync::Mutex;
use std::time::Duration;

use snipehollow_core::ids::{HostName, InstanceId};
use snipehollow_core::membership::RecordedDeparture;
use snipehollow_store::{
    KeyValue, KvStore, StoreError, Version, Versioned, add_departures, load_departures,
};

/// Store in memory.
#[derive(Default)]
struct MemoryStore {
    values: Mutex<HashMap<String, Versioned>>,
    /// Number of writes that find another version, because someone else wrote first.
    conflicts: Mutex<u32>,
}

impl KvStore for MemoryStore {
    fn get(&self, key: &str) -> Result<Option<Versioned>, StoreError> {
        Ok(self.values.lock().unwrap().get(key).cloned())
    }

    fn list(&self, _: &str) -> Result<Vec<KeyValue>, StoreError> {
        Ok(Vec::new())
    }

    fn put(&self, key: &str, value: &str, at: Version) -> Result<Option<Version>, StoreError> {
        let mut conflicts = self.conflicts.lock().unwrap();
        let mut values = self.values.lock().unwrap();
        let known = values.get(key).map_or(Version::ABSENT, |found| found.version);
        if known != at || *conflicts > 0 {
            *conflicts = conflicts.saturating_sub(1);
            return Ok(None);
        }
        let version = Version(known.0 + 1);
        values.insert(key.into(), Versioned { value: value.into(), version });
        Ok(Some(version))
    }

    fn watch(&self, _: &str, _: Version, _: Duration) -> Result<Option<Versioned>, StoreError> {
        Ok(None)
    }
}

fn departure(id: &str, unix_ms: u64) -> RecordedDeparture {
    let instance = InstanceId::new(id).unwrap();
    RecordedDeparture { instance, start: Some(1_000), sequence: None, unix_ms }
}

/// Guards against departures that a restarted node does not find, and against a value that grows or
/// cannot be repaired.
#[test]
fn departures_are_kept_until_they_expire() {
    let store = MemoryStore::default();
    let (host, other) = (HostName::new("h1").unwrap(), HostName::new("h2").unwrap());
    assert_eq!(load_departures(&store, &host).unwrap(), []);
    let (first, second) = (departure("i-1", 10_000), departure("i-2", 30_000));
    assert!(add_departures(&store, &host, std::slice::from_ref(&first), 10_000).unwrap());
    *store.conflicts.lock().unwrap() = 1;
    assert!(add_departures(&store, &host, std::slice::from_ref(&second), 30_000).unwrap());
    assert_eq!(load_departures(&store, &host).unwrap(), [first, second.clone()]);
    assert_eq!(load_departures(&store, &other).unwrap(), []);
    let third = departure("i-3", 45_000);
    assert!(add_departures(&store, &host, std::slice::from_ref(&third), 45_000).unwrap());
    assert_eq!(load_departures(&store, &host).unwrap(), [second, third]);
    let many: Vec<_> = (0..100).map(|i| departure(&format!("j-{i}"), 50_000)).collect();
    assert!(add_departures(&store, &host, &many, 50_000).unwrap());
    assert_eq!(load_departures(&store, &host).unwrap(), many[84..]);
    store.values.lock().unwrap().get_mut("departures/h1").unwrap().value = "[[".into();
    assert!(load_departures(&store, &host).is_err());
    assert!(add_departures(&store, &host, &many[..1], 50_000).unwrap());
    assert_eq!(load_departures(&store, &host).unwrap(), many[..1]);
}
