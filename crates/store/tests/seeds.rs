//! Tests of seed lists with entries that cannot be read.

use std::time::Duration;

use snipehollow_store::{KeyValue, KvStore, StoreError, Version, Versioned, load_all_seeds};

/// Store with these values under the prefix of the seed lists.
struct Listed(Vec<String>);

impl KvStore for Listed {
    fn get(&self, _: &str) -> Result<Option<Versioned>, StoreError> {
        Ok(None)
    }

    fn list(&self, prefix: &str) -> Result<Vec<KeyValue>, StoreError> {
        let item = |(i, value): (usize, &String)| KeyValue {
            key: format!("{prefix}{i}"),
            value: value.clone(),
            version: Version(1),
        };
        Ok(self.0.iter().enumerate().map(item).collect())
    }

    fn put(&self, _: &str, _: &str, _: Version) -> Result<Option<Version>, StoreError> {
        Ok(None)
    }

    fn watch(&self, _: &str, _: Version, _: Duration) -> Result<Option<Versioned>, StoreError> {
        Ok(None)
    }
}

/// Guards against a starting node that finds nobody because one address in a list, or one list,
/// cannot be read.
#[test]
fn odd_seed_hides_no_other() {
    let nested = format!("{}{}", "[".repeat(20_000), "]".repeat(20_000));
    for odd in [nested.as_str(), "7", "\"127.0.0.1:70000\"", "\"somewhere\"", "1e99999", "null"] {
        let lists = vec![
            format!(r#"{{"zone":"a","region":"r","addrs":["127.0.0.1:1",{odd},"127.0.0.1:2"]}}"#),
            odd.to_owned(),
            format!(r#"{{"zone":{odd},"region":"r","addrs":[]}}"#),
            r#"{"zone":"b","region":"r","addrs":["127.0.0.1:3"]}"#.to_owned(),
        ];
        let mut reported = 0;
        let lists = load_all_seeds(&Listed(lists), |_| reported += 1).unwrap();
        let ports: Vec<Vec<u16>> = lists
            .iter()
            .map(|(seeds, _)| seeds.addrs.iter().map(|addr| addr.port()).collect())
            .collect();
        let shown = &odd[..odd.len().min(40)];
        // Some of these texts are valid names of a zone.
        assert_eq!(ports.first(), Some(&vec![1, 2]), "{shown}");
        assert_eq!(ports.last(), Some(&vec![3]), "{shown}");
        assert_eq!(lists.len() + reported, 4, "{shown}");
    }
}
