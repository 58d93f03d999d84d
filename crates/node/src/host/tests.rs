//! Tests of tries whose process was paused between the decision of the gate and the dispatch, of
//! late announcements, and of tries that count for the quarantine.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use hyper::{HeaderMap, Method};
use snipehollow_config::settings::NodeSettings;
use snipehollow_core::admission::{Completion, UNKNOWN_PROCESS_START};
use snipehollow_core::class::{ClassPolicy, Rank};
use snipehollow_core::ids::{
    CallerKey, ClassName, Fingerprint, InstanceId, RequestId, ServiceName, TryId,
};
use snipehollow_core::membership::{RecordedDeparture, UpstreamInfo, UpstreamState};
use snipehollow_core::reason::Reason;
use snipehollow_core::retry::Allowance;
use snipehollow_core::ticket::{ProcessStartId, TicketKey};
use snipehollow_core::time::Timestamp;
use snipehollow_wire::admin::Announcement;

use super::{Admission, HostState};
use crate::clock::unix_millis;
use crate::traffic::Call;

const SETTINGS: &str = "[host]\nname = h1\nzone = z1\nregion = r1\n[listen]\n\
    caller = 127.0.0.1:1\npeer = 127.0.0.1:2\ncontrol = 127.0.0.1:3\nupstream = 127.0.0.1:4\n\
    admin = 127.0.0.1:5\n[peers]\nsecret = 0123456789abcdef\n";
/// Time to live of announcements.
const TTL: Duration = Duration::from_secs(6);

fn announcement(sequence: u64, state: UpstreamState) -> Announcement {
    Announcement {
        upstream: UpstreamInfo { service: service(), slots: 4, state },
        addr: "127.0.0.1:9".parse().unwrap(),
        connections: 100,
        start: 1,
        ttl_ms: TTL.as_millis() as u32,
        instance: InstanceId::new("i-1").ok(),
        sequence,
        cold_ms: 0,
    }
}

fn service() -> ServiceName {
    ServiceName::new("pricing").unwrap()
}

fn call(now: Timestamp, deadline: Duration) -> Call {
    let class = ClassPolicy::new(ClassName::new("quote").unwrap(), Rank(0));
    Call {
        id: RequestId::new("r-1").unwrap(),
        service: service(),
        virtual_host: None,
        caller_service: None,
        method: Method::GET,
        path: "/".into(),
        headers: HeaderMap::new(),
        body: Bytes::new(),
        class: Arc::new(class),
        caller: CallerKey::new("branch").unwrap(),
        received: now,
        deadline: now + deadline,
        entry_end: None,
        fingerprint: Fingerprint::of("pricing", "GET", "/", b""),
        ticket: None,
        suspect: false,
        attempt: 0,
        repeat_share: 0.0,
    }
}

/// Returns the reason why a try that the gate decided to dispatch is not sent after a pause during
/// which `meanwhile` is received; `None` if it is sent.
fn refusal_after(
    pause: Duration,
    deadline: Duration,
    meanwhile: impl Fn(&mut HostState, Timestamp),
) -> Option<Reason> {
    let settings = NodeSettings::parse("node.ini", SETTINGS).unwrap();
    let mut host = HostState::new(&settings, ProcessStartId(1), TicketKey::new([0; 32]), 1);
    let now = Timestamp::from_millis(1);
    host.handle_announcement(now, &announcement(1, UpstreamState::Serving));
    let call = call(now, deadline);
    let Admission::Wait(id, mut rx, _) = host.admit(now, &call) else {
        panic!("refused on arrival");
    };
    assert!(rx.try_recv().is_ok(), "a slot is free");
    let now = now + pause;
    meanwhile(&mut host, now);
    host.start_try(now, id, &call, Allowance(0)).err()
}

/// Guards against requests that are sent on a permission which ran out while the process was paused:
/// the deadline of the request, or the announcement of the upstream.
#[test]
fn try_is_not_sent_after_its_permission_ran_out_in_a_pause() {
    let long = Duration::from_secs(60);
    assert_eq!(refusal_after(Duration::from_millis(10), long, |_, _| {}), None);
    let deadline = Duration::from_secs(2);
    let pause = deadline + Duration::from_millis(1);
    assert_eq!(refusal_after(pause, deadline, |_, _| {}), Some(Reason::DeadlinePassed));
    let refusal = refusal_after(TTL, long, |_, _| {});
    assert_eq!(refusal, Some(Reason::NoUpstream), "the announcement has expired");
    let renewed = refusal_after(TTL, long, |host, now| {
        host.handle_announcement(now, &announcement(2, UpstreamState::Serving));
    });
    assert_eq!(renewed, None);
}

/// Guards against requests that reach an upstream after its departure was acknowledged.
#[test]
fn try_is_not_sent_to_an_upstream_that_left_in_a_pause() {
    let (pause, long) = (Duration::from_millis(10), Duration::from_secs(60));
    let draining = refusal_after(pause, long, |host, now| {
        host.handle_announcement(now, &announcement(2, UpstreamState::Leaving));
    });
    assert_eq!(draining, Some(Reason::Leaving));
    let departed = refusal_after(pause, long, |host, now| {
        host.handle_upstream_departure(now, &InstanceId::new("i-1").unwrap());
    });
    assert_eq!(departed, Some(Reason::Leaving));
    let drained = refusal_after(pause, long, |host, _| host.stop_admission());
    assert_eq!(drained, Some(Reason::Leaving));
}

/// Guards against requests that reach an upstream after its departure was acknowledged, because an
/// announcement that arrives late registers it again: the node was restarted and had found it by a
/// health check, which does not tell its start.
#[test]
fn late_announcement_does_not_bring_back_a_discovered_upstream() {
    let settings = NodeSettings::parse("node.ini", SETTINGS).unwrap();
    let mut host = HostState::new(&settings, ProcessStartId(1), TicketKey::new([0; 32]), 1);
    let now = Timestamp::from_millis(1);
    let discovered =
        Announcement { start: UNKNOWN_PROCESS_START, ..announcement(0, UpstreamState::Serving) };
    host.handle_announcement(now, &discovered);
    assert_eq!(host.unavailability(now, &service()), None);
    host.handle_upstream_departure(now, &InstanceId::new("i-1").unwrap());
    assert_eq!(host.unavailability(now, &service()), Some(Reason::Leaving));
    host.handle_announcement(now, &announcement(7, UpstreamState::Serving));
    assert_eq!(host.unavailability(now, &service()), Some(Reason::Leaving));
    let status = host.local_status().unwrap();
    assert!(status.leaving, "entry nodes must tell a restarted gate: {status:?}");
    // Its start is later than the departure.
    let restarted = Announcement { start: u64::MAX, ..announcement(1, UpstreamState::Serving) };
    host.handle_announcement(now, &restarted);
    assert_eq!(host.unavailability(now, &service()), None, "a later process is used again");
}

/// Returns a node that has just started and does not know earlier departures yet.
fn restarted_host() -> HostState {
    let settings = NodeSettings::parse("node.ini", SETTINGS).unwrap();
    let mut host = HostState::new(&settings, ProcessStartId(1), TicketKey::new([0; 32]), 1);
    host.await_departures(false);
    host
}

/// Returns a departure of an upstream process, told by the announcement with this sequence number.
fn departure(start: u64, sequence: Option<u64>) -> RecordedDeparture {
    RecordedDeparture {
        instance: InstanceId::new("i-1").unwrap(),
        start: Some(start),
        sequence,
        unix_ms: unix_millis(),
    }
}

/// Guards against requests to an instance whose departure was acknowledged before a restart, in the
/// time until the departures have been read.
#[test]
fn announcement_waits_until_earlier_departures_are_known() {
    let now = Timestamp::from_millis(1);
    let serving = announcement(7, UpstreamState::Serving);
    let mut host = restarted_host();
    host.handle_announcement(now, &serving);
    assert_eq!(host.unavailability(now, &service()), Some(Reason::NoUpstream));
    host.restore_departures(now, Vec::new());
    assert_eq!(host.unavailability(now, &service()), None, "there was no departure");

    let mut host = restarted_host();
    host.handle_announcement(now, &serving);
    host.restore_departures(now, vec![departure(1, None)]);
    assert_eq!(host.unavailability(now, &service()), Some(Reason::Leaving));
}

/// Guards against an upstream that stays unused because the departures cannot be read: a health check
/// or an announcement that must be recent shows that it serves.
#[test]
fn upstream_is_used_though_earlier_departures_stay_unknown() {
    let now = Timestamp::from_millis(1);
    let mut host = restarted_host();
    host.handle_announcement(now, &announcement(7, UpstreamState::Serving));
    let discovered =
        Announcement { start: UNKNOWN_PROCESS_START, ..announcement(0, UpstreamState::Serving) };
    host.handle_announcement(now, &discovered);
    host.apply_held_announcement(now);
    assert_eq!(host.unavailability(now, &service()), None);
    host.handle_announcement(now, &announcement(8, UpstreamState::Serving));
    assert_eq!(host.unavailability(now, &service()), None);

    let mut host = restarted_host();
    let late = Timestamp::from_millis(10_000);
    host.handle_announcement(late, &announcement(7, UpstreamState::Serving));
    host.tick(late);
    assert_eq!(host.unavailability(late, &service()), Some(Reason::NoUpstream), "may be old");
    host.handle_announcement(late, &announcement(8, UpstreamState::Serving));
    assert_eq!(host.unavailability(late, &service()), None);
}

/// Guards against requests to an upstream whose departure could not be saved, because the store was out
/// of reach until after the restart: what is read then does not prove that there was none.
#[test]
fn announcement_stays_held_if_departures_may_be_missing() {
    let now = Timestamp::from_millis(1);
    let mut host = restarted_host();
    host.record_unread_departures();
    host.handle_announcement(now, &announcement(7, UpstreamState::Serving));
    host.restore_departures(now, Vec::new());
    assert_eq!(host.unavailability(now, &service()), Some(Reason::NoUpstream));
    let other = Announcement {
        start: UNKNOWN_PROCESS_START,
        instance: InstanceId::new("i-2").ok(),
        ..announcement(0, UpstreamState::Serving)
    };
    host.confirm_upstream(now, &other);
    let status = host.upstream.as_ref().and_then(|upstream| upstream.instance.clone());
    assert_eq!(status, other.instance, "an announcement of an earlier process is dropped");

    let mut host = restarted_host();
    host.record_unread_departures();
    host.handle_announcement(now, &announcement(7, UpstreamState::Serving));
    let discovered =
        Announcement { start: UNKNOWN_PROCESS_START, ..announcement(0, UpstreamState::Serving) };
    host.confirm_upstream(now, &discovered);
    assert_eq!(host.unavailability(now, &service()), None, "its health check shows that it serves");
}

/// Guards against an upstream that is not used again after it has taken back that it leaves, because a
/// health check found it before its announcements arrived.
#[test]
fn discovered_upstream_that_takes_its_departure_back_is_used() {
    let now = Timestamp::from_millis(1);
    let mut host = restarted_host();
    host.restore_departures(now, vec![departure(1, Some(7))]);
    let discovered =
        Announcement { start: UNKNOWN_PROCESS_START, ..announcement(0, UpstreamState::Serving) };
    host.confirm_upstream(now, &discovered);
    host.handle_announcement(now, &announcement(6, UpstreamState::Serving));
    assert_eq!(host.unavailability(now, &service()), Some(Reason::Leaving));
    host.handle_announcement(now, &announcement(8, UpstreamState::Serving));
    assert_eq!(host.unavailability(now, &service()), None);
}

/// Guards against requests to an upstream whose departure was never saved, because the earlier process
/// ended while the store was out of reach: that the store can be read does not prove that there was
/// none.
#[test]
fn announcement_waits_for_a_health_check_though_the_departures_were_read() {
    let settings = NodeSettings::parse("node.ini", SETTINGS).unwrap();
    let now = Timestamp::from_millis(1);
    let restarted = || {
        let mut host = HostState::new(&settings, ProcessStartId(1), TicketKey::new([0; 32]), 1);
        host.await_departures(true);
        host.restore_departures(now, Vec::new());
        host.handle_announcement(now, &announcement(7, UpstreamState::Serving));
        host
    };
    let mut host = restarted();
    host.restore_departures(now, Vec::new());
    assert_eq!(host.unavailability(now, &service()), Some(Reason::NoUpstream));
    host.handle_announcement(now, &announcement(8, UpstreamState::Serving));
    assert_eq!(host.unavailability(now, &service()), Some(Reason::NoUpstream));

    let mut host = restarted();
    let discovered =
        Announcement { start: UNKNOWN_PROCESS_START, ..announcement(0, UpstreamState::Serving) };
    host.confirm_upstream(now, &discovered);
    assert_eq!(host.unavailability(now, &service()), None, "its health check shows that it serves");
    host.restore_departures(now, vec![departure(1, None)]);
    assert_eq!(
        host.unavailability(now, &service()),
        Some(Reason::Leaving),
        "it was saved after all"
    );
}

/// Guards against a restarted node that uses an upstream until it leaves, although other members know
/// that its departure was acknowledged.
#[test]
fn departure_that_another_member_knows_stops_the_upstream() {
    let settings = NodeSettings::parse("node.ini", SETTINGS).unwrap();
    let now = Timestamp::from_millis(1);
    let after = |departure, sequence| {
        let mut host = HostState::new(&settings, ProcessStartId(1), TicketKey::new([0; 32]), 1);
        host.handle_announcement(now, &announcement(7, UpstreamState::Serving));
        host.learn_departure(now, departure);
        host.handle_announcement(now, &announcement(sequence, UpstreamState::Serving));
        host.unavailability(now, &service())
    };
    assert_eq!(after(departure(1, None), 8), Some(Reason::Leaving), "it is final");
    assert_eq!(after(departure(1, Some(9)), 8), Some(Reason::Leaving), "told by announcement 9");
    assert_eq!(after(departure(1, Some(7)), 8), None, "announcement 8 took it back");
    assert_eq!(after(departure(0, None), 8), None, "an earlier process departed");
}

/// Starts a try at an upstream process; returns the reason if it is refused on arrival.
fn start_call(host: &mut HostState, now: Timestamp, process: u64) -> Result<TryId, Reason> {
    let serving = Announcement { start: process, ..announcement(0, UpstreamState::Serving) };
    host.handle_announcement(now, &serving);
    let call = call(now, Duration::from_secs(60));
    match host.admit(now, &call) {
        Admission::Wait(id, ..) => host.start_try(now, id, &call, Allowance(0)).map(|_| id),
        Admission::Refused(reason) => Err(reason),
    }
}

/// Guards against a request that crashes upstreams again and again because one of them refused it
/// under load, before its first crash or while it is suspected.
#[test]
fn request_that_upstreams_also_refuse_is_quarantined_after_two_crashes() {
    let settings = NodeSettings::parse("node.ini", SETTINGS).unwrap();
    let mut host = HostState::new(&settings, ProcessStartId(1), TicketKey::new([0; 32]), 1);
    let now = Timestamp::from_millis(1);
    for process in 1..=2 {
        let refused = start_call(&mut host, now, process).unwrap();
        host.end_try(now, now, refused, Completion::Overloaded);
        start_call(&mut host, now, process).unwrap();
        host.remove_upstream(now);
    }
    assert_eq!(start_call(&mut host, now, 3), Err(Reason::Quarantined));
}
