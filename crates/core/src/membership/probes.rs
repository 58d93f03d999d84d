//! Probes that wait for a response.

use std::net::SocketAddr;

use super::action::ProbeId;
use super::config::MembershipConfig;
use crate::collections::FastMap;
use crate::ids::HostName;
use crate::time::Timestamp;

/// Probe of one member that waits for a response.
#[derive(Clone, Debug)]
pub(super) struct Probe {
    pub(super) host: HostName,
    pub(super) addr: SocketAddr,
    started: Timestamp,
    /// Whether other members were already asked to probe.
    indirect: bool,
}

/// Probes whose time limit has passed.
#[derive(Debug, Default)]
pub(super) struct TimedOut {
    /// Direct probes without a response; other members should be asked to probe.
    pub(super) direct: Vec<ProbeId>,
    /// Hosts that responded neither to direct nor to indirect probes.
    pub(super) failed: Vec<HostName>,
}

/// Table of the probes that wait for a response.
#[derive(Clone, Debug, Default)]
pub(super) struct Probes {
    pending: FastMap<ProbeId, Probe>,
    next_id: u64,
}

impl Probes {
    /// Starts a direct probe.
    pub(super) fn start(&mut self, now: Timestamp, host: &HostName, addr: SocketAddr) -> ProbeId {
        let id = ProbeId(self.next_id);
        self.next_id += 1;
        let probe = Probe { host: host.clone(), addr, started: now, indirect: false };
        self.pending.insert(id, probe);
        id
    }

    /// Removes a probe that got a response.
    pub(super) fn complete(&mut self, id: ProbeId) {
        self.pending.remove(&id);
    }

    /// Marks a direct probe as indirect and returns it; `None` if it is indirect already or was
    /// removed.
    pub(super) fn make_indirect(&mut self, id: ProbeId) -> Option<Probe> {
        let probe = self.pending.get_mut(&id).filter(|probe| !probe.indirect)?;
        probe.indirect = true;
        Some(probe.clone())
    }

    /// Returns the probes whose time limit has passed, and removes those whose limit for indirect
    /// probes has passed too.
    pub(super) fn time_out(&mut self, now: Timestamp, cfg: &MembershipConfig) -> TimedOut {
        let mut timed_out = TimedOut::default();
        let mut failed_ids: Vec<ProbeId> = Vec::new();
        for (id, probe) in &self.pending {
            let age = now.since(probe.started);
            if age >= cfg.indirect_timeout {
                failed_ids.push(*id);
            } else if age >= cfg.probe_timeout && !probe.indirect {
                timed_out.direct.push(*id);
            }
        }
        // Sorted by start order, because map order would make simulated runs irreproducible.
        timed_out.direct.sort_unstable();
        failed_ids.sort_unstable();
        let failed = failed_ids.into_iter().filter_map(|id| self.pending.remove(&id));
        timed_out.failed.extend(failed.map(|probe| probe.host));
        timed_out
    }

    /// Removes all probes.
    pub(super) fn clear(&mut self) {
        self.pending.clear();
    }
}
