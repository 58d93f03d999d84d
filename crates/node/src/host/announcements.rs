//! Announcements of the local upstream, and its departure.

use std::time::Duration;

use snipehollow_core::admission::UNKNOWN_PROCESS_START;
use snipehollow_core::ids::{InstanceId, ServiceName};
use snipehollow_core::membership::{RecordedDeparture, UpstreamInfo, UpstreamState};
use snipehollow_core::time::Timestamp;
use snipehollow_wire::admin::Announcement;

use super::state::HostState;
use super::upstream::{LocalUpstream, usable_slots};
use crate::clock::unix_millis;
use crate::logging::decisions;

/// How late an announcement may arrive.
const MAX_ANNOUNCEMENT_DELAY: Duration = Duration::from_secs(10);

/// What a process knows of the departures that were acknowledged on its host before it started.
///
/// Until they are known, announcements that may precede one of them are held.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum EarlierDepartures {
    /// They have not been read from the store.
    Unread,
    /// Those that could not be saved before this process started may be missing in the store.
    Incomplete,
    /// All that may still matter are known.
    Known,
}

impl HostState {
    /// Applies an announcement of the local upstream.
    ///
    /// An outdated announcement is ignored, and one that may precede an unknown departure is held.
    /// One from another process replaces the current upstream.
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
        let same_process =
            self.upstream.as_ref().is_some_and(|up| up.is_same_process(announcement));
        if !same_process
            && self.earlier_departures != EarlierDepartures::Known
            && may_precede_departure(announcement)
        {
            log::info!(
                instance = announcement.instance.as_ref().map_or("", |id| id.as_str()),
                sequence = announcement.sequence;
                "announcement held until the earlier departures are known"
            );
            self.held_announcement = Some(announcement.clone());
            return self.upstream_info(now);
        }
        let has_departed = |sequence| {
            announcement.instance.as_ref().is_some_and(|id| {
                self.departures.has_departed(now, id, announcement.start, sequence)
            })
        };
        let departed = has_departed(announcement.sequence);
        // No later announcement takes it back.
        let departed_finally = has_departed(u64::MAX);
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
            upstream.said_leaving = departed_finally;
        }
        upstream.apply_announcement(now, announcement);
        if departed || upstream.said_leaving {
            upstream.info.state = UpstreamState::Leaving;
        }
        if announcement.upstream.state == UpstreamState::Leaving && announcement.sequence > 0 {
            self.store_departure(Some(announcement.sequence));
        }
        let upstream = self.upstream.as_mut()?;
        let leaving = admission_stopped || upstream.info.state == UpstreamState::Leaving;
        let actions = if leaving {
            upstream.gate.mark_leaving()
        } else {
            upstream.departure_saved = false;
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
            let unix_ms = unix_millis();
            self.departures.record(now, instance, None, unix_ms);
            let instance = instance.clone();
            let departure = RecordedDeparture { instance, start: None, sequence: None, unix_ms };
            self.unsaved_departures.push(departure);
        }
        self.upstream_info(now)
    }

    /// Queues the departure of the current upstream to be saved, once for each process. `sequence`
    /// is that of the announcement which told it; `None` if the departure is final.
    pub(super) fn store_departure(&mut self, sequence: Option<u64>) {
        let Some(upstream) = &mut self.upstream else {
            return;
        };
        if let (Some(instance), false) = (&upstream.instance, upstream.departure_saved) {
            upstream.departure_saved = true;
            self.unsaved_departures.push(RecordedDeparture {
                instance: instance.clone(),
                start: Some(upstream.start).filter(|start| *start != UNKNOWN_PROCESS_START),
                sequence,
                unix_ms: unix_millis(),
            });
        }
    }

    /// Returns the departures that have to be saved, and clears them.
    pub(crate) fn take_unsaved_departures(&mut self) -> Vec<RecordedDeparture> {
        std::mem::take(&mut self.unsaved_departures)
    }

    /// Makes announcements of unknown upstreams wait until [`HostState::confirm_upstream`], or until
    /// [`HostState::restore_departures`] if upstreams have no health checks.
    ///
    /// The store is no proof that there was no departure: the earlier process may have ended before
    /// it could save one.
    pub(crate) fn await_departures(&mut self, has_health_checks: bool) {
        self.earlier_departures = match has_health_checks {
            true => EarlierDepartures::Incomplete,
            false => EarlierDepartures::Unread,
        };
    }

    /// Records that the departures could not be read from the store. Those that were acknowledged
    /// meanwhile could not be saved either.
    pub(crate) fn record_unread_departures(&mut self) {
        if self.earlier_departures == EarlierDepartures::Unread {
            self.earlier_departures = EarlierDepartures::Incomplete;
        }
    }

    /// Restores the departures that were saved before this process started, and applies the
    /// announcement that waited for them unless others may be missing. Marks the current upstream as
    /// leaving if it is one that departed.
    ///
    /// Returns the state of the upstream to advertise to the other members.
    pub(crate) fn restore_departures(
        &mut self,
        now: Timestamp,
        departures: Vec<RecordedDeparture>,
    ) -> Option<UpstreamInfo> {
        for departure in departures {
            self.learn_departure(now, departure);
        }
        if self.earlier_departures == EarlierDepartures::Incomplete {
            return self.upstream_info(now);
        }
        self.earlier_departures = EarlierDepartures::Known;
        self.apply_held_announcement(now)
    }

    /// Restores a departure that the store or another member kept, and marks the current upstream as
    /// leaving if it is the one that departed.
    pub(crate) fn learn_departure(&mut self, now: Timestamp, departure: RecordedDeparture) {
        let is_final = departure.sequence.is_none();
        let departed = departure.instance.clone();
        self.departures.restore(now, departure, unix_millis());
        let Some(upstream) = &mut self.upstream else {
            return;
        };
        // Which process a health check found is not known before its announcement.
        if upstream.instance.as_ref() != Some(&departed)
            || upstream.start == UNKNOWN_PROCESS_START
            || upstream.info.state == UpstreamState::Leaving
            || !self.departures.has_departed(now, &departed, upstream.start, upstream.sequence())
        {
            return;
        }
        log::info!(instance = departed.as_str(); "upstream departed before this process started");
        upstream.said_leaving |= is_final;
        upstream.info.state = UpstreamState::Leaving;
        let actions = upstream.gate.mark_leaving();
        self.execute_gate_actions(actions);
    }

    /// Applies what a health check of the local upstream found: it serves, so no departure of it was
    /// acknowledged before this process started.
    ///
    /// `discovered` is used until the upstream announces itself. A held announcement of the same
    /// process is applied, one of another process is dropped. Returns the state of the upstream to
    /// advertise to the other members.
    pub(crate) fn confirm_upstream(
        &mut self,
        now: Timestamp,
        discovered: &Announcement,
    ) -> Option<UpstreamInfo> {
        self.earlier_departures = EarlierDepartures::Known;
        self.held_announcement.take_if(|held| held.instance != discovered.instance);
        if self.upstream.is_none() {
            self.handle_announcement(now, discovered);
        }
        self.apply_held_announcement(now)
    }

    /// Applies the announcement that was held, once earlier departures are known.
    pub(super) fn apply_held_announcement(&mut self, now: Timestamp) -> Option<UpstreamInfo> {
        if let Some(held) = self.held_announcement.take() {
            return self.handle_announcement(now, &held);
        }
        self.upstream_info(now)
    }

    /// Returns the announcement that is held.
    pub(crate) fn held_announcement(&self) -> Option<&Announcement> {
        self.held_announcement.as_ref()
    }

    /// Stops holding announcements once none from before the start of this process can arrive any
    /// more. The held one may be so old; the upstream renews it.
    pub(super) fn expire_hold(&mut self, now: Timestamp) {
        if self.earlier_departures != EarlierDepartures::Known
            && now >= Timestamp::ZERO + MAX_ANNOUNCEMENT_DELAY
        {
            log::warn!(
                "earlier departures may be missing, announcements are believed without them"
            );
            self.earlier_departures = EarlierDepartures::Known;
            self.held_announcement = None;
        }
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

/// Returns whether an announcement may have been sent before a departure that this process does not
/// know of. What a health check showed is present.
fn may_precede_departure(announcement: &Announcement) -> bool {
    announcement.upstream.state != UpstreamState::Leaving
        && announcement.start != UNKNOWN_PROCESS_START
        && announcement.instance.is_some()
}
