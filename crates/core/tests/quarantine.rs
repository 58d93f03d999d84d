//! Who is blamed for the death of an upstream.

use std::time::Duration;

use snipehollow_core::ids::{Fingerprint, TryId};
use snipehollow_core::quarantine::{Quarantine, QuarantineDecision};
use snipehollow_core::time::Timestamp;

const POPULAR: Fingerprint = Fingerprint(1);
const NOW: Timestamp = Timestamp::ZERO;

fn quarantine() -> Quarantine {
    Quarantine::new(Duration::from_secs(600))
}

/// Two upstreams are killed at once while both run what every caller sends.
#[test]
fn quarantine_popular_request_in_flight_at_a_series_of_kills() {
    let (mut a, mut b) = (quarantine(), quarantine());
    a.start(TryId(1), POPULAR);
    b.start(TryId(1), POPULAR);
    b.start(TryId(2), POPULAR);
    for entry in a.upstream_died(NOW) {
        b.merge(NOW, &entry);
    }
    b.upstream_died(NOW);
    assert_ne!(b.check(NOW, POPULAR), QuarantineDecision::Quarantined);
}

#[test]
fn quarantine_suspect_that_crashes_the_next_upstream() {
    let (mut a, mut b) = (quarantine(), quarantine());
    a.start(TryId(1), POPULAR);
    for entry in a.upstream_died(NOW) {
        b.merge(NOW, &entry);
    }
    assert_eq!(b.check(NOW, POPULAR), QuarantineDecision::AllowAlone);
    b.start(TryId(1), POPULAR);
    b.upstream_died(NOW);
    assert_eq!(b.check(NOW, POPULAR), QuarantineDecision::Quarantined);
}

/// A request that completed before does not crash upstreams, however often one is killed
/// beneath it.
#[test]
fn quarantine_never_convicts_what_completed_before() {
    let (mut a, mut b) = (quarantine(), quarantine());
    for host in [&mut a, &mut b] {
        host.start(TryId(1), POPULAR);
        host.finish(NOW, TryId(1), true);
    }
    a.start(TryId(2), POPULAR);
    assert!(a.upstream_died(NOW).is_empty());
    // The entry tries elsewhere and says that an upstream died beneath the request.
    b.suspect(NOW, POPULAR);
    b.start(TryId(2), POPULAR);
    b.upstream_died(NOW);
    assert_eq!(b.check(NOW, POPULAR), QuarantineDecision::Allow);
}
