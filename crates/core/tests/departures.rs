//! Tests of the record of departed upstreams.

use std::time::Duration;

use snipehollow_core::ids::InstanceId;
use snipehollow_core::membership::Departures;
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
    assert!(departures.has_departed(later, &id("i-1"), 2_000));
    assert!(!departures.has_departed(later, &id("i-2"), 2_000));
}

#[test]
fn departure_of_a_known_start_accepts_the_next_start() {
    let mut departures = Departures::default();
    departures.record(Timestamp::ZERO, &id("i-1"), Some(2_000), 10_000);
    assert!(departures.has_departed(Timestamp::ZERO, &id("i-1"), 2_000));
    assert!(!departures.has_departed(Timestamp::ZERO, &id("i-1"), 2_001));
}

#[test]
fn departures_expire_and_are_bounded() {
    let mut departures = Departures::default();
    for i in 0..10_000 {
        departures.record(Timestamp::ZERO, &id(&format!("i-{i}")), None, 10_000);
    }
    assert!(departures.has_departed(Timestamp::ZERO, &id("i-9999"), 1));
    assert!(!departures.has_departed(Timestamp::from_millis(31_000), &id("i-9999"), 1));
}
