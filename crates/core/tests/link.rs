//! Tests of the byte budget for the link between regions, with many nodes that share one link.

use std::collections::VecDeque;
use std::time::Duration;

use snipehollow_core::class::Rank;
use snipehollow_core::routing::{LinkBudget, LinkCharge};
use snipehollow_core::time::Timestamp;

/// Nodes of one region.
const NODES: usize = 42;
/// Rate of the link, in bytes per second each way, which the budgets of all nodes add up to.
const LINK_RATE: f64 = 3_750_000.0;
const REQUEST_BYTES: u64 = 1_300;
const RESPONSE_BYTES: u64 = 8_300;
/// Time from a request's arrival in the other region to its response, plus the way back.
const RESPONSE_TIME: Duration = Duration::from_millis(130);
/// Longest time for which a try may wait for the link: the users allow half a second between the
/// moment at which a caller leaves and the last arrival of its tries.
const MAX_WAIT: Duration = Duration::from_millis(500);

struct Sent {
    node: usize,
    charge: LinkCharge,
    /// Time at which the response is ready to cross the link.
    responds: Timestamp,
}

/// One direction of the link, which sends what is handed to it in order.
#[derive(Default)]
struct Direction {
    busy_until: Timestamp,
}

impl Direction {
    /// Returns the time at which the bytes have crossed.
    fn send(&mut self, now: Timestamp, bytes: u64) -> Timestamp {
        let time = Duration::from_secs_f64(bytes as f64 / LINK_RATE);
        self.busy_until = self.busy_until.max(now) + time;
        self.busy_until
    }
}

/// Sends `per_second` requests a second from each node from `start` on, as far as the budgets allow,
/// and returns the longest wait for the link and the bytes sent each second.
fn longest_wait(start: Timestamp, per_second: u64, seconds: u64) -> (Duration, f64) {
    let mut budgets: Vec<LinkBudget> =
        (0..NODES).map(|_| LinkBudget::new(LINK_RATE / NODES as f64, Timestamp::ZERO)).collect();
    let (mut there, mut back) = (Direction::default(), Direction::default());
    let mut in_flight: VecDeque<Sent> = VecDeque::new();
    let mut longest = Duration::ZERO;
    let mut bytes = 0;
    for step in 0..seconds * per_second {
        let now = start + Duration::from_micros(step * 1_000_000 / per_second);
        while in_flight.front().is_some_and(|sent| sent.responds <= now) {
            let Some(sent) = in_flight.pop_front() else { break };
            let arrived = back.send(sent.responds, RESPONSE_BYTES);
            longest = longest.max(arrived.since(sent.responds));
            budgets[sent.node].settle(now, sent.charge, RESPONSE_BYTES);
            bytes += RESPONSE_BYTES;
        }
        for (node, budget) in budgets.iter_mut().enumerate() {
            if budget.allows(now, Rank(0)) {
                let charge = budget.charge(now, REQUEST_BYTES);
                let arrived = there.send(now, REQUEST_BYTES);
                longest = longest.max(arrived.since(now));
                in_flight.push_back(Sent { node, charge, responds: arrived + RESPONSE_TIME });
            }
        }
    }
    (longest, bytes as f64 / seconds as f64)
}

/// Guards against tries that reach the other region long after they were sent, because all nodes
/// spend full balances at once, or send many requests before the first response is charged.
#[test]
fn nodes_that_use_the_link_at_once_do_not_fill_it() {
    for per_second in [50, 500] {
        for idle in [Duration::from_millis(1), Duration::from_secs(10)] {
            let (wait, bytes) = longest_wait(Timestamp::ZERO + idle, per_second, 6);
            assert!(wait <= MAX_WAIT, "{wait:?} at {per_second}/s after {idle:?}");
            assert!(bytes > 0.7 * LINK_RATE, "only {bytes:.0} bytes/s of {LINK_RATE} used");
        }
    }
}

/// Guards against a budget that many refused requests, whose responses are small, keep spent.
#[test]
fn small_responses_return_what_was_charged_for_them() {
    let mut link = LinkBudget::new(100_000.0, Timestamp::ZERO);
    let mut sent = 0;
    for ms in 1..1_000 {
        let now = Timestamp::from_millis(ms);
        if link.allows(now, Rank(0)) {
            let charge = link.charge(now, 300);
            link.settle(now, charge, 300);
            sent += 600;
        }
    }
    assert!(sent > 90_000, "{sent} of 100,000 bytes used");
}

/// Guards against less urgent requests that use up the link.
#[test]
fn reserve_is_kept_for_more_urgent_requests() {
    let mut link = LinkBudget::new(100_000.0, Timestamp::ZERO);
    let now = Timestamp::from_millis(1_000);
    let mut sent = 0;
    while link.allows(now, Rank(2)) {
        let charge = link.charge(now, 500);
        link.settle(now, charge, 500);
        sent += 1;
    }
    assert!(sent > 0);
    assert!(!link.allows(now, Rank(2)) && link.allows(now, Rank(1)) && link.allows(now, Rank(0)));
}
