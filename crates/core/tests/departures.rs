//! Tests of the record of departed upstreams.

use std::time::Duration;

use snipehollow_core::ids::InstanceId;
use snipehollow_core::membership::{Departures, RecordedDeparture};
use snipehollow_core::time::Timestamp;

fn id(name: &str) -> InstanceId {
    InstanceId::new(name).unwrap()
}

/// A restarted node may receive an upstream's departure before any announcement of it. An older
/// announcement that arrives late must not register the upstream again.
#[test]
fn departure_of_an_unknown_start_rejects_a_late_announcement() {
    let mut departures = Departures::default();
    departures.record(Timestamp::ZERO, &id("i-1"), None, 10_000);
    let later = Timestamp::ZERO + Duration::from_secs(3);
    assert!(departures.has_departed(later, &id("i-1"), 2_000, u64::MAX));
    assert!(!departures.has_departed(later, &id("i-2"), 2_000, u64::MAX));
}

#[test]
fn departure_of_a_known_start_accepts_the_next_start() {
    let mut departures = Departures::default();
    departures.record(Timestamp::ZERO, &id("i-1"), Some(2_000), 10_000);
    assert!(departures.has_departed(Timestamp::ZERO, &id("i-1"), 2_000, u64::MAX));
    assert!(!departures.has_departed(Timestamp::ZERO, &id("i-1"), 2_001, u64::MAX));
}

#[test]
fn departures_expire_and_are_bounded() {
    let mut departures = Departures::default();
    for i in 0..10_000 {
        departures.record(Timestamp::ZERO, &id(&format!("i-{i}")), None, 10_000);
    }
    assert!(departures.has_departed(Timestamp::ZERO, &id("i-9999"), 1, u64::MAX));
    assert!(!departures.has_departed(Timestamp::from_millis(31_000), &id("i-9999"), 1, u64::MAX));
}

/// Guards against a restarted node that believes a late announcement from before a departure, and
/// against one that keeps refusing an upstream which serves again or was started again.
#[test]
fn restored_departure_rejects_what_was_announced_before_it() {
    let recorded = |start, sequence| RecordedDeparture {
        instance: id("i-1"),
        start,
        sequence,
        unix_ms: 10_000,
    };
    let now = Timestamp::ZERO;
    let restored = |recorded, unix_ms| {
        let mut departures = Departures::default();
        departures.restore(now, recorded, unix_ms);
        departures
    };
    let told = restored(recorded(Some(2_000), Some(7)), 12_000);
    assert!(told.has_departed(now, &id("i-1"), 2_000, 6), "announced before");
    assert!(told.has_departed(now, &id("i-1"), 1_000, 50), "an earlier process");
    assert!(!told.has_departed(now, &id("i-1"), 2_000, 8), "it serves again");
    assert!(!told.has_departed(now, &id("i-1"), 2_001, 1), "it was started again");
    let last = restored(recorded(Some(2_000), None), 12_000);
    assert!(last.has_departed(now, &id("i-1"), 2_000, u64::MAX));
    // The departure was 2 s ago, so it expires 28 s from now.
    assert!(last.has_departed(Timestamp::from_millis(27_999), &id("i-1"), 2_000, 1));
    assert!(!last.has_departed(Timestamp::from_millis(28_000), &id("i-1"), 2_000, 1));
    let mut later = Departures::default();
    later.record(now, &id("i-1"), Some(3_000), 11_000);
    later.restore(now, recorded(Some(2_000), None), 12_000);
    assert!(later.has_departed(now, &id("i-1"), 3_000, 1), "a later one is known");
    let expired = restored(recorded(None, None), 40_000);
    assert!(!expired.has_departed(now, &id("i-1"), 2_000, 1));
}
