//! The upstream process on this host.

use std::net::SocketAddr;
use std::time::Duration;

use snipehollow_core::admission::{Gate, GateConfig, UNKNOWN_PROCESS_START};
use snipehollow_core::ids::InstanceId;
use snipehollow_core::membership::{UpstreamInfo, UpstreamState};
use snipehollow_core::time::Timestamp;
use snipehollow_wire::admin::Announcement;

use super::tries::StartedTry;

/// An announced or discovered upstream and its gate.
#[derive(Debug)]
pub(crate) struct LocalUpstream {
    pub(crate) gate: Gate,
    pub(crate) info: UpstreamInfo,
    pub(crate) addr: SocketAddr,
    /// Process start number of the upstream; an announcement with a lower one is outdated. An
    /// upstream that was discovered by a health check has [`UNKNOWN_PROCESS_START`], because health
    /// checks do not report the number.
    pub(crate) start: u64,
    pub(crate) instance: Option<InstanceId>,
    /// Whether the process said in a response or by its departure that it is leaving.
    pub(crate) said_leaving: bool,
    /// Whether the departure of the process was queued to be saved.
    pub(crate) departure_saved: bool,
    /// Sequence number of the newest announcement; 0 if announcements are not numbered.
    sequence: u64,
    /// Time at which the announcement expires unless it is renewed.
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
            info: announcement.upstream.clone(),
            addr: announcement.addr,
            start: announcement.start,
            instance: announcement.instance.clone(),
            said_leaving: false,
            departure_saved: false,
            sequence: announcement.sequence,
            expires: now + ttl(announcement),
        }
    }

    /// Returns whether an announcement comes from this upstream process.
    ///
    /// An upstream that was discovered by a health check has no start number, so any number matches
    /// it.
    pub(crate) fn is_same_process(&self, announcement: &Announcement) -> bool {
        (self.start == announcement.start || self.start == UNKNOWN_PROCESS_START)
            && self.instance == announcement.instance
            && self.addr == announcement.addr
            && self.info.service == announcement.upstream.service
    }

    /// Returns whether this is the process that a try was sent to.
    pub(crate) fn received(&self, started: &StartedTry) -> bool {
        let start_matches = self.start == started.start || started.start == UNKNOWN_PROCESS_START;
        start_matches && self.addr == started.addr && self.instance == started.instance
    }

    /// Returns whether an announcement is older than the newest one or comes from an earlier
    /// process start.
    pub(crate) fn is_outdated(&self, announcement: &Announcement) -> bool {
        announcement.start < self.start
            || (self.is_same_process(announcement)
                && announcement.sequence > 0
                && announcement.sequence <= self.sequence)
    }

    pub(crate) fn apply_announcement(&mut self, now: Timestamp, announcement: &Announcement) {
        self.info = announcement.upstream.clone();
        self.start = announcement.start;
        self.sequence = announcement.sequence;
        self.expires = now + ttl(announcement);
    }

    /// Returns the sequence number of the newest announcement.
    pub(crate) fn sequence(&self) -> u64 {
        self.sequence
    }

    pub(crate) fn accepts_requests(&self, now: Timestamp) -> bool {
        self.info.state == UpstreamState::Serving && self.expires > now
    }
}

/// Returns the number of requests that may be in flight at the upstream.
///
/// It is limited to the number of connections, because further requests would wait for a
/// connection instead of in the gate's queue.
pub(super) fn usable_slots(announcement: &Announcement) -> u32 {
    announcement.upstream.slots.min(announcement.connections).max(1)
}

fn ttl(announcement: &Announcement) -> Duration {
    Duration::from_millis(u64::from(announcement.ttl_ms))
}
