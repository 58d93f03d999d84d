//! Announcements of the local upstream, and its departure.

use snipehollow_core::admission::UNKNOWN_PROCESS_START;
use snipehollow_core::ids::{InstanceId, ServiceName};
use snipehollow_core::membership::{UpstreamInfo, UpstreamState};
use snipehollow_core::time::Timestamp;
use snipehollow_wire::admin::Announcement;

use super::state::HostState;
use super::upstream::{LocalUpstream, usable_slots};
use crate::clock::unix_millis;
use crate::logging::decisions;

impl HostState {
    /// Applies an announcement of the local upstream.
    ///
    /// An outdated announcement is ignored. One from another process replaces the current upstream.
    /// Returns the state of the upstream to advertise to the other members.
    pub(crate) fn handle_announcement(
        &mut self,
        now: Timestamp,
        announcement: &Announcement,
    ) -> Option<UpstreamInfo> {
        if self.upstream.as_ref().is_some_and(|up| up.is_outdated(announcement)) {
            log::info!(
                instance = announcement.instance.as_ref().map_or("", |id| id.as_str()),
                sequence = announcement.sequence;
                "outdated announcement of the upstream ignored"
            );
            return self.upstream_info(now);
        }
        let departed = announcement
            .instance
            .as_ref()
            .is_some_and(|id| self.departures.has_departed(now, id, announcement.start));
        let same_process =
            self.upstream.as_ref().is_some_and(|up| up.is_same_process(announcement));
        if !same_process {
            decisions::log_upstream_instance(announcement);
            self.remove_upstream(now);
            self.upstream = Some(LocalUpstream::new(self.gate_config.clone(), now, announcement));
        }
        let slots = usable_slots(announcement);
        let admission_stopped = self.admission_stopped;
        let upstream = self.upstream.as_mut()?;
        if upstream.start == UNKNOWN_PROCESS_START {
            // The announcement may come from a later process with the same id.
            upstream.said_leaving = departed;
        }
        upstream.apply_announcement(now, announcement);
        if departed || upstream.said_leaving {
            upstream.info.state = UpstreamState::Leaving;
        }
        let leaving = admission_stopped || upstream.info.state == UpstreamState::Leaving;
        let actions = if leaving {
            upstream.gate.mark_leaving()
        } else {
            upstream.gate.resume();
            upstream.gate.set_slots(now, slots)
        };
        self.execute_gate_actions(actions);
        self.upstream_info(now)
    }

    /// Returns whether an upstream was announced or discovered.
    pub(crate) fn has_upstream(&self) -> bool {
        self.upstream.is_some()
    }

    /// Records that an upstream process is leaving.
    ///
    /// Marks the current upstream as leaving if it is that process. Returns the state of the
    /// upstream to advertise to the other members.
    pub(crate) fn handle_upstream_departure(
        &mut self,
        now: Timestamp,
        instance: &InstanceId,
    ) -> Option<UpstreamInfo> {
        let known = self.upstream.as_ref().is_some_and(|up| up.instance.as_ref() == Some(instance));
        log::info!(instance = instance.as_str(), known; "upstream is leaving");
        if known {
            self.mark_upstream_leaving(now);
        } else {
            self.departures.record(now, instance, None, unix_millis());
        }
        self.upstream_info(now)
    }

    /// Returns the state of the local upstream to advertise to the other members; `None` without a
    /// current announcement.
    pub(crate) fn upstream_info(&self, now: Timestamp) -> Option<UpstreamInfo> {
        let upstream = self.upstream.as_ref().filter(|up| up.expires > now)?;
        let mut info = upstream.info.clone();
        if self.admission_stopped {
            info.state = UpstreamState::Leaving;
        }
        Some(info)
    }

    /// Returns the service of the local upstream.
    pub(crate) fn service(&self) -> Option<ServiceName> {
        self.upstream.as_ref().map(|upstream| upstream.info.service.clone())
    }
}
