//! Probes that are under way.

use std::net::SocketAddr;

use super::action::ProbeId;
use super::config::MembershipConfig;
use crate::collections::FastMap;
use crate::ids::HostName;
use crate::time::Timestamp;

/// One probe.
#[derive(Clone, Debug)]
pub(super) struct Probe {
    pub(super) host: HostName,
    pub(super) addr: SocketAddr,
    started: Timestamp,
    indirect: bool,
}

/// Probes whose time is over.
#[derive(Debug, Default)]
pub(super) struct TimedOut {
    /// The direct probe got no answer: others are to be asked.
    pub(super) direct: Vec<ProbeId>,
    /// Nobody got an answer: the hosts are suspects.
    pub(super) failed: Vec<HostName>,
}

/// Probes that are under way.
#[derive(Clone, Debug, Default)]
pub(super) struct Probes {
    under_way: FastMap<ProbeId, Probe>,
    next: u64,
}

impl Probes {
    /// Starts a direct probe.
    pub(super) fn start(&mut self, now: Timestamp, host: &HostName, addr: SocketAddr) -> ProbeId {
        let id = ProbeId(self.next);
        self.next += 1;
        let probe = Probe { host: host.clone(), addr, started: now, indirect: false };
        self.under_way.insert(id, probe);
        id
    }

    /// Ends a probe that was answered.
    pub(super) fn answered(&mut self, id: ProbeId) {
        self.under_way.remove(&id);
    }

    /// Turns a direct probe into an indirect one; `None` if it is one already or has ended.
    pub(super) fn make_indirect(&mut self, id: ProbeId) -> Option<Probe> {
        let probe = self.under_way.get_mut(&id).filter(|probe| !probe.indirect)?;
        probe.indirect = true;
        Some(probe.clone())
    }

    /// Returns the probes whose time is over, and ends those that failed.
    pub(super) fn time_out(&mut self, now: Timestamp, cfg: &MembershipConfig) -> TimedOut {
        let mut timed_out = TimedOut::default();
        let mut ended: Vec<ProbeId> = Vec::new();
        for (id, probe) in &self.under_way {
            let age = now.since(probe.started);
            if age >= cfg.indirect_timeout {
                ended.push(*id);
            } else if age >= cfg.probe_timeout && !probe.indirect {
                timed_out.direct.push(*id);
            }
        }
        // In order of their start, so that a run replays.
        timed_out.direct.sort_unstable();
        ended.sort_unstable();
        let failed = ended.into_iter().filter_map(|id| self.under_way.remove(&id));
        timed_out.failed.extend(failed.map(|probe| probe.host));
        timed_out
    }

    /// Forgets all probes.
    pub(super) fn clear(&mut self) {
        self.under_way.clear();
    }
}
