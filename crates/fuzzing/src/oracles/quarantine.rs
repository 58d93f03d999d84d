//! Oracle of the quarantine: which request really crashes upstreams.

use std::time::Duration;

use snipehollow_core::ids::{Fingerprint, TryId};
use snipehollow_core::quarantine::{Quarantine, QuarantineDecision};
use snipehollow_core::time::Timestamp;

use crate::generators::QuarantineOp;
use crate::{Violation, check};

const HOSTS: usize = 3;
const RETENTION: Duration = Duration::from_secs(3_600);
/// The request that crashes whatever runs it.
const POISON: Fingerprint = Fingerprint(0);
/// Most upstreams that one request may crash.
///
/// Each host needs two crashes to be sure by itself. A crash does not convict if another
/// request in flight became a suspect meanwhile by word of another host's first crash, which
/// can happen once for each other host (seed 133 shows it).
const MAX_CRASHES: u32 = (HOSTS * (HOSTS + 1)) as u32;

struct Host {
    quarantine: Quarantine,
    running: Vec<(TryId, Fingerprint)>,
}

/// Feeds events to the quarantines of a few hosts, one request of which crashes upstreams.
pub fn check_quarantine(ops: &[QuarantineOp]) -> Result<u32, Violation> {
    let mut hosts: Vec<Host> = (0..HOSTS)
        .map(|_| Host { quarantine: Quarantine::new(RETENTION), running: Vec::new() })
        .collect();
    let mut now = Timestamp::ZERO;
    let mut next = 0;
    let mut crashes = 0;
    for op in ops {
        match *op {
            QuarantineOp::Start { host, request } => {
                next += 1;
                let fingerprint = Fingerprint(u128::from(request));
                start(&mut hosts[usize::from(host) % HOSTS], now, TryId(next), fingerprint)?;
            }
            QuarantineOp::Finish { host, pick } => {
                finish(&mut hosts[usize::from(host) % HOSTS], now, pick);
            }
            QuarantineOp::Crash { host } => {
                crashes += u32::from(crash(&mut hosts[usize::from(host) % HOSTS], now));
            }
            QuarantineOp::Gossip { from, to } => gossip(&mut hosts, now, from, to),
            QuarantineOp::Advance { seconds } => {
                now = now + Duration::from_secs(u64::from(seconds));
            }
        }
        check!(crashes <= MAX_CRASHES, "one request crashed {crashes} upstreams");
        check_innocent(&hosts, now)?;
    }
    Ok(crashes)
}

fn start(
    host: &mut Host,
    now: Timestamp,
    id: TryId,
    fingerprint: Fingerprint,
) -> Result<(), Violation> {
    let verdict = host.quarantine.check(now, fingerprint);
    match verdict {
        QuarantineDecision::Allow | QuarantineDecision::AllowAlone => {
            host.quarantine.start(id, fingerprint);
            host.running.push((id, fingerprint));
        }
        QuarantineDecision::SuspectBusy => {
            check!(!host.running.is_empty(), "{fingerprint} is busy with nothing")
        }
        QuarantineDecision::Quarantined => {}
    }
    Ok(())
}

/// The poison never finishes: it crashes.
fn finish(host: &mut Host, now: Timestamp, pick: u16) {
    let innocent: Vec<usize> =
        (0..host.running.len()).filter(|i| host.running[*i].1 != POISON).collect();
    if innocent.is_empty() {
        return;
    }
    let (id, _) = host.running.swap_remove(innocent[usize::from(pick) % innocent.len()]);
    host.quarantine.finish(now, id, true);
}

fn crash(host: &mut Host, now: Timestamp) -> bool {
    if !host.running.iter().any(|(_, fingerprint)| *fingerprint == POISON) {
        return false;
    }
    host.running.clear();
    host.quarantine.upstream_died(now);
    true
}

fn gossip(hosts: &mut [Host], now: Timestamp, from: u8, to: u8) {
    let entries = hosts[usize::from(from) % HOSTS].quarantine.list(now);
    for entry in entries {
        hosts[usize::from(to) % HOSTS].quarantine.merge(now, &entry);
    }
}

/// Only one request crashes upstreams, so no other one may be quarantined.
fn check_innocent(hosts: &[Host], now: Timestamp) -> Result<(), Violation> {
    for host in hosts {
        let wronged = host
            .quarantine
            .list(now)
            .into_iter()
            .find(|entry| entry.is_quarantined() && entry.fingerprint != POISON);
        check!(wronged.is_none(), "a bystander is quarantined: {wronged:?}");
    }
    Ok(())
}
