//! Healing of partitions: joins groups of members that do not know each other, and repairs views
//! that differ.

use std::net::SocketAddr;
use std::time::Duration;

use super::{MISMATCHES_TO_SYNC, Membership};
use crate::ids::HostName;
use crate::membership::action::MemberAction;
use crate::membership::member::MemberState;
use crate::rng::Rng;
use crate::time::Timestamp;

/// Number of periods between two attempts to contact a seed that is not a live member.
const SEED_CONTACT_PERIODS: u64 = 10;
/// Number of periods after the start of this node in which it contacts a seed in every period.
/// Nodes that start at the same time may at first form separate groups.
const NEW_NODE_PERIODS: u64 = 15;
/// Number of short periods after the start of this node. All nodes of a zone may start at once,
/// and until they know each other, they refuse requests that others could serve.
const SHORT_PERIOD_COUNT: u64 = 5;
/// Length of a short period: ten round trips inside a region.
const SHORT_PERIOD: Duration = Duration::from_millis(200);

impl Membership {
    /// Returns the length of the current protocol period.
    pub(super) fn period(&self) -> Duration {
        if self.periods < SHORT_PERIOD_COUNT { SHORT_PERIOD } else { self.cfg.period }
    }

    /// Returns a random member that was declared dead.
    pub(super) fn random_dead(&self, rng: &mut Rng) -> Option<HostName> {
        let mut dead: Vec<&HostName> = self
            .others()
            .filter(|m| m.update.state == MemberState::Dead)
            .map(|m| &m.update.host)
            .collect();
        dead.sort_unstable();
        rng.sample(&mut dead, 1).first().map(|host| (*host).clone())
    }

    /// Synchronizes with a random seed that is not a live member: in every period while this node
    /// is alone or new, and at intervals later. This joins groups that do not know each other.
    pub(super) fn contact_seeds(
        &mut self,
        now: Timestamp,
        rng: &mut Rng,
        actions: &mut Vec<MemberAction>,
    ) {
        let is_alone = self.live_count() <= 1;
        let is_new = self.periods <= NEW_NODE_PERIODS;
        if !is_alone && !is_new && !self.periods.is_multiple_of(SEED_CONTACT_PERIODS) {
            return;
        }
        let live: Vec<SocketAddr> =
            self.others().filter(|m| m.is_live()).map(|m| m.update.info.control).collect();
        let mut candidates: Vec<SocketAddr> =
            self.seeds.iter().copied().filter(|seed| !live.contains(seed)).collect();
        if let Some(seed) = rng.sample(&mut candidates, 1).first() {
            self.last_sync = Some(now);
            actions.push(MemberAction::Sync { with: *seed });
        }
    }

    /// Synchronizes with a member whose digest differed, if enough messages had a differing digest
    /// and the last synchronization was long enough ago.
    pub(super) fn sync_after_mismatches(
        &mut self,
        now: Timestamp,
        rng: &mut Rng,
        actions: &mut Vec<MemberAction>,
    ) {
        let synced_recently =
            self.last_sync.is_some_and(|at| now.since(at) < self.cfg.sync_interval);
        if self.mismatches < MISMATCHES_TO_SYNC || synced_recently {
            return;
        }
        let differing = self.last_differing.take().and_then(|host| self.members.get(&host));
        let with = match differing.filter(|member| member.is_live()) {
            Some(member) => Some(member.update.info.control),
            None => self.random_live(rng, 1).first().copied(),
        };
        if let Some(with) = with {
            self.last_sync = Some(now);
            self.mismatches = 0;
            actions.push(MemberAction::Sync { with });
        }
    }
}
