//! What entry nodes report to a restarted gate about its upstream.

use snipehollow_core::admission::{Gate, GateConfig, UNKNOWN_PROCESS_START, UpstreamStatus};
use snipehollow_core::ids::InstanceId;
use snipehollow_core::time::Timestamp;

/// Guards against an upstream that stays unused, or is sent too much, because a status about an
/// earlier process with the same id is taken for one about it.
#[test]
fn status_applies_only_to_the_process_that_it_describes() {
    let id = InstanceId::new("i-1").unwrap();
    let other = InstanceId::new("i-2").unwrap();
    let status = UpstreamStatus::parse("17/2/1/i-1").unwrap();
    assert!(status.forbids(17, Some(&id)));
    assert!(status.forbids(UNKNOWN_PROCESS_START, Some(&id)), "not announced since the restart");
    assert!(!status.forbids(18, Some(&id)), "a later process");
    assert!(!status.may_describe(18, Some(&id)));
    assert!(!status.forbids(17, Some(&other)));
    let start_unknown = UpstreamStatus::parse("0/2/1/i-1").unwrap();
    assert!(start_unknown.may_describe(17, Some(&id)));
    assert!(!start_unknown.forbids(17, Some(&id)), "it may be a later process");
}

/// Guards against reports of entry nodes that overrule what the gate itself has observed, and
/// against the less strict of two reports.
#[test]
fn reported_limit_holds_until_the_gate_observes_a_response() {
    let now = Timestamp::from_millis(10);
    let mut gate = Gate::new(GateConfig::new(), 4);
    assert!(gate.adopt_rate_limit(now, 5.0));
    assert!(gate.adopt_rate_limit(now, 2.0));
    assert!(!gate.adopt_rate_limit(now, 9.0));
    assert_eq!(gate.rate_limit(), Some(2.0));
    gate.observe_rate_limit(now, now, None);
    assert_eq!(gate.rate_limit(), None);
    assert!(!gate.adopt_rate_limit(now, 1.0));
    assert_eq!(gate.rate_limit(), None);
}
