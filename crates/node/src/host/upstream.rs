//! The upstream that runs on this host.

use std::net::SocketAddr;
use std::time::Duration;

use snipehollow_core::admission::{Gate, GateConfig};
use snipehollow_core::ids::InstanceId;
use snipehollow_core::membership::{UpstreamInfo, UpstreamState};
use snipehollow_core::time::Timestamp;
use snipehollow_wire::admin::Announcement;

/// Number of a start that is not known, as of an upstream that was found by its health check.
pub(crate) const UNKNOWN_PROCESS_START: u64 = 0;

/// An announced upstream and its gate.
#[derive(Debug)]
pub(crate) struct LocalUpstream {
    pub(crate) gate: Gate,
    pub(crate) facts: UpstreamInfo,
    pub(crate) addr: SocketAddr,
    pub(crate) start: u64,
    pub(crate) instance: Option<InstanceId>,
    /// Number of the newest announcement.
    sequence: u64,
    pub(crate) expires: Timestamp,
}

impl LocalUpstream {
    pub(crate) fn new(
        cfg: GateConfig,
        now: Timestamp,
        announcement: &Announcement,
    ) -> LocalUpstream {
        let slots = usable_slots(announcement);
        LocalUpstream {
            gate: Gate::new(cfg, slots),
            facts: announcement.upstream.clone(),
            addr: announcement.addr,
            start: announcement.start,
            instance: announcement.instance.clone(),
            sequence: announcement.sequence,
            expires: now + ttl(announcement),
        }
    }

    /// Tells whether an announcement is by the same start of the same upstream.
    pub(crate) fn is_same(&self, announcement: &Announcement) -> bool {
        (self.start == announcement.start || self.start == UNKNOWN_PROCESS_START)
            && self.instance == announcement.instance
            && self.addr == announcement.addr
            && self.facts.service == announcement.upstream.service
    }

    /// Tells whether an announcement was made before the newest one or by an earlier start.
    pub(crate) fn is_outdated(&self, announcement: &Announcement) -> bool {
        announcement.start < self.start
            || (self.is_same(announcement)
                && announcement.sequence > 0
                && announcement.sequence <= self.sequence)
    }

    pub(crate) fn renew(&mut self, now: Timestamp, announcement: &Announcement) {
        self.facts = announcement.upstream.clone();
        self.start = announcement.start;
        self.sequence = announcement.sequence;
        self.expires = now + ttl(announcement);
    }

    pub(crate) fn takes_work(&self, now: Timestamp) -> bool {
        self.facts.state == UpstreamState::Serving && self.expires > now
    }
}

/// Returns the requests that may run at once: more than connections would wait in the client.
pub(super) fn usable_slots(announcement: &Announcement) -> u32 {
    announcement.upstream.slots.min(announcement.connections).max(1)
}

fn ttl(announcement: &Announcement) -> Duration {
    Duration::from_millis(u64::from(announcement.ttl_ms))
}
