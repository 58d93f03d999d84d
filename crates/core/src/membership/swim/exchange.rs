//! Synchronization of two nodes' views, by digests of buckets of members.

use super::{Membership, Source};
use crate::membership::sync::{BUCKET_COUNT, BucketDigests, SyncResponse};
use crate::membership::{GossipedMember, Member};
use crate::time::Timestamp;

/// Buckets that one answer to a synchronization brings.
const BUCKETS_PER_SYNC: usize = 8;

impl Membership {
    /// Returns the digests to send for a synchronization.
    pub fn digests(&self) -> &BucketDigests {
        &self.digests
    }

    /// Answers a synchronization: the members of buckets that differ.
    ///
    /// A node that knows next to nothing gets all; otherwise a few buckets an answer keep the
    /// bytes small, and the next answers bring the rest.
    pub fn sync_response(&self, digests: &BucketDigests) -> SyncResponse {
        let joins = digests.0.iter().filter(|digest| **digest != 0).count() <= 1;
        let most = if joins { BUCKET_COUNT } else { BUCKETS_PER_SYNC };
        let first = self.periods as usize * BUCKETS_PER_SYNC;
        let chosen: Vec<usize> = (0..BUCKET_COUNT)
            .map(|i| (first + i) % BUCKET_COUNT)
            .filter(|bucket| self.digests.differs(digests, *bucket))
            .take(most)
            .collect();
        let is_chosen =
            |member: &&Member| chosen.contains(&BucketDigests::bucket(&member.update.host));
        let members = self.members.values().filter(is_chosen);
        SyncResponse {
            members: members.map(|member| GossipedMember::from_update(&member.update)).collect(),
        }
    }

    /// Takes in the answer to a synchronization.
    pub fn on_sync_response(&mut self, now: Timestamp, answer: &SyncResponse) {
        self.mismatches = 0;
        for news in &answer.members {
            self.merge(now, news, Source::Sync);
        }
    }

    /// Takes in the state of a node that asks for a synchronization, and spreads it.
    pub fn on_sync_request(&mut self, now: Timestamp, own: &GossipedMember) {
        self.merge(now, own, Source::Gossip);
    }
}
