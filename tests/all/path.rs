//! Requests through the whole call path: caller, entry node, gate, upstream and nested calls.

use snipehollow_core::outcome::Outcome;
use snipehollow_core::reason::Reason;

use crate::support::{Caller, duplicates, mixed_load, small_mesh};

/// Guards against nodes that cannot route to a service whose instances run on other hosts.
#[test]
fn every_entry_serves_every_service() {
    let mesh = small_mesh();
    let caller = Caller::new();
    for entry in mesh.plan.caller_addrs() {
        for path in ["/pricing/quote", "/orders/list"] {
            let result = caller.get(entry, path);
            assert!(result.is_ok(), "{entry} {path}: {result:?}");
            assert_eq!(result.outcome, Some(Outcome::Ran));
        }
    }
}

/// Guards against orders that run without a ticket, run once for each retry, or run a different
/// body under a ticket that was already used.
#[test]
fn order_needs_a_ticket_and_runs_once() {
    let mesh = small_mesh();
    let caller = Caller::new();
    let entries = mesh.plan.caller_addrs();
    let first = caller.order(entries[0], "net", None);
    assert_eq!(first.reason, Some(Reason::TicketNeeded));
    assert_eq!(first.outcome, Some(Outcome::NotRun));
    let ticket = first.ticket.unwrap();
    for entry in entries {
        let result = caller.order(entry, "net", Some(&ticket));
        assert!(result.is_ok(), "a retry with the same ticket and body failed: {result:?}");
    }
    let other_body = caller.order(mesh.plan.caller_addrs()[0], "rope", Some(&ticket));
    assert_eq!(other_body.reason, Some(Reason::TicketMismatch));
    assert_eq!(other_body.outcome, Some(Outcome::NotRun));
    assert_eq!(duplicates(&mesh), 0);
}

/// Guards against requests that are shed, lost or mixed up at a load well below the capacity.
#[test]
fn load_below_capacity_is_served_completely() {
    let mesh = small_mesh();
    let report = Caller::new().load(&mixed_load(mesh.plan.caller_addrs(), 150.0, 3));
    for (name, kind) in &report.kinds {
        assert_eq!(kind.mismatched, 0, "{name}: a response belonged to another request");
        assert_eq!(
            kind.good, kind.requests,
            "{name}: not all requests succeeded in time: {:?}",
            kind.reasons
        );
    }
    assert_eq!(duplicates(&mesh), 0);
}

/// Guards against traces that miss a stage of the call, or an `explain` that succeeds for a request
/// that no node has seen.
#[test]
fn explain_lists_the_stages_of_a_request() {
    let mesh = small_mesh();
    let caller = Caller::new();
    let mut map = hyper::HeaderMap::new();
    map.insert("snipehollow-request-id", "trace-me".parse().unwrap());
    let entry = mesh.plan.caller_addrs()[0];
    assert!(caller.send(entry, &hyper::Method::GET, "/orders/list", map, "").is_ok());
    let output = mesh.run_cli(&["explain", "trace-me"]).unwrap();
    let text = String::from_utf8_lossy(&output.stdout).into_owned();
    assert!(output.status.success(), "{text}");
    for stage in ["route", "gate", "upstream", "answer"] {
        assert!(text.contains(stage), "{stage} is missing in\n{text}");
    }
    let unknown = mesh.run_cli(&["explain", "nobody-sent-this"]).unwrap();
    assert_eq!(unknown.status.code(), Some(1));
}
