//! How groups of members that do not know each other find together, and views that differ
//! become one.

use std::net::SocketAddr;
use std::time::Duration;

use super::{MISMATCHES_TO_SYNC, Membership};
use crate::ids::HostName;
use crate::membership::action::MemberAction;
use crate::membership::member::MemberState;
use crate::rng::Rng;
use crate::time::Timestamp;

/// Periods between two attempts to reach a seed that is not a known member.
const SEED_PERIODS: u64 = 10;
/// Periods after the start in which a seed is contacted in each of them: nodes that start
/// together may first meet in separate groups.
const FIRST_PERIODS: u64 = 15;
/// Periods after the start that are short: all nodes of a zone may start at once, and until
/// they know each other they refuse what others could serve.
const SHORT_PERIODS: u64 = 5;
/// Length of these: ten round trips inside a region.
const SHORT_PERIOD: Duration = Duration::from_millis(200);

impl Membership {
    pub(super) fn period(&self) -> Duration {
        if self.periods < SHORT_PERIODS { SHORT_PERIOD } else { self.cfg.period }
    }

    pub(super) fn random_dead(&self, rng: &mut Rng) -> Option<HostName> {
        let mut dead: Vec<&HostName> = self
            .others()
            .filter(|m| m.update.state == MemberState::Dead)
            .map(|m| &m.update.host)
            .collect();
        dead.sort_unstable();
        rng.sample(&mut dead, 1).first().map(|host| (*host).clone())
    }

    /// Synchronizes with a seed while alone, and now and then with one that is not a live
    /// member, so that two halves that never met find each other.
    pub(super) fn contact_seeds(
        &mut self,
        now: Timestamp,
        rng: &mut Rng,
        actions: &mut Vec<MemberAction>,
    ) {
        let alone = self.live_count() <= 1;
        let is_new = self.periods <= FIRST_PERIODS;
        if !alone && !is_new && !self.periods.is_multiple_of(SEED_PERIODS) {
            return;
        }
        let live: Vec<SocketAddr> =
            self.others().filter(|m| m.is_live()).map(|m| m.update.info.control).collect();
        let mut unknown: Vec<SocketAddr> =
            self.seeds.iter().copied().filter(|seed| !live.contains(seed)).collect();
        if let Some(seed) = rng.sample(&mut unknown, 1).first() {
            self.last_sync = Some(now);
            actions.push(MemberAction::Sync { with: *seed });
        }
    }

    pub(super) fn repair(
        &mut self,
        now: Timestamp,
        rng: &mut Rng,
        actions: &mut Vec<MemberAction>,
    ) {
        let recent = self.last_sync.is_some_and(|at| now.since(at) < self.cfg.sync_interval);
        if self.mismatches < MISMATCHES_TO_SYNC || recent {
            return;
        }
        let differing = self.differing.take().and_then(|host| self.members.get(&host));
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
