//! Which requests are quarantined when upstreams die.

use std::time::Duration;

use snipehollow_core::ids::{Fingerprint, TryId};
use snipehollow_core::quarantine::{Quarantine, QuarantineDecision, QuarantineEntry};
use snipehollow_core::time::Timestamp;

const POPULAR: Fingerprint = Fingerprint(1);
const NOW: Timestamp = Timestamp::ZERO;

fn quarantine() -> Quarantine {
    Quarantine::new(Duration::from_secs(600))
}

/// A request that all callers send is in flight whenever an upstream dies. Two upstreams that are
/// killed shortly after each other must not get it quarantined: it was running at the second one
/// before it became a suspect.
#[test]
fn popular_request_in_flight_at_two_kills_is_not_quarantined() {
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
fn suspect_that_crashes_a_second_upstream_is_quarantined() {
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

/// A request that completed before does not crash upstreams, so it stays allowed however many
/// upstreams are killed while they run it.
#[test]
fn request_that_completed_before_is_not_suspected() {
    let (mut a, mut b) = (quarantine(), quarantine());
    for host in [&mut a, &mut b] {
        host.start(TryId(1), POPULAR);
        host.finish(NOW, TryId(1), true);
    }
    a.start(TryId(2), POPULAR);
    assert!(a.upstream_died(NOW).is_empty());
    // The entry node retries on the other host and reports that an upstream died while it ran the
    // request.
    b.suspect(NOW, POPULAR);
    b.start(TryId(2), POPULAR);
    b.upstream_died(NOW);
    assert_eq!(b.check(NOW, POPULAR), QuarantineDecision::Allow);
}

/// Guards against a node that ends with an overflow because another one sent counts at their limit.
#[test]
fn counts_at_their_limit_overflow_nowhere() {
    let now = Timestamp::from_millis(1);
    let mut quarantine = Quarantine::new(Duration::from_secs(600));
    let fingerprint = Fingerprint(7);
    let entry = QuarantineEntry {
        fingerprint,
        crashes: u8::MAX,
        clears: u32::MAX,
        lifts: u32::MAX,
        expires_in_ms: u64::MAX,
    };
    quarantine.merge(now, &entry);
    quarantine.start(TryId(1), fingerprint);
    quarantine.finish(now, TryId(1), true);
    quarantine.start(TryId(2), fingerprint);
    quarantine.upstream_died(now);
    quarantine.lift(now, fingerprint);
    assert_eq!(quarantine.check(now, fingerprint), QuarantineDecision::Allow);
}

/// Guards against entries that are left out between two pages of changes, or never told because the
/// position comes from another process, such as the one before a restart.
#[test]
fn changes_are_told_in_pages_until_all_are_known() {
    const ENTRIES: u128 = 10;
    const PAGE: usize = 4;
    let mut first = quarantine().with_source(1);
    (0..ENTRIES).for_each(|fingerprint| first.suspect(NOW, Fingerprint(fingerprint)));
    let mut known = Vec::new();
    let mut cursor = None;
    loop {
        let page = first.changes_since(NOW, cursor.as_ref(), PAGE);
        assert!(page.entries.len() <= PAGE);
        known.extend(page.entries.iter().map(|entry| entry.fingerprint.0));
        cursor = Some(page.cursor);
        if !page.has_more {
            break;
        }
    }
    known.sort_unstable();
    assert_eq!(known, (0..ENTRIES).collect::<Vec<_>>());
    assert!(first.changes_since(NOW, cursor.as_ref(), PAGE).entries.is_empty());

    let mut restarted = quarantine().with_source(2);
    restarted.suspect(NOW, POPULAR);
    let page = restarted.changes_since(NOW, cursor.as_ref(), PAGE);
    assert_eq!(page.entries.len(), 1, "the position is that of the earlier process");
}
