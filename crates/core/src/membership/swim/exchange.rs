//! Synchronization of the views of two nodes (anti-entropy).
//!
//! The requesting node sends its bucket digests, and the responding node returns the members of
//! buckets that differ.

use super::{Membership, Source};
use crate::membership::sync::{BUCKET_COUNT, BucketDigests, SyncResponse};
use crate::membership::{GossipedMember, Member};
use crate::time::Timestamp;

/// Maximum number of differing buckets that one synchronization response contains.
const BUCKETS_PER_SYNC: usize = 8;

impl Membership {
    /// Returns the digests to send in a synchronization request.
    pub fn digests(&self) -> &BucketDigests {
        &self.digests
    }

    /// Returns the response to a synchronization request with these digests: the members of buckets
    /// that differ.
    ///
    /// A node that is joining and knows hardly any member gets all buckets at once. Other responses
    /// are limited to a few buckets to keep them small; they start at a different bucket in each
    /// period, so that later responses contain the rest.
    pub fn sync_response(&self, digests: &BucketDigests) -> SyncResponse {
        let is_joining = digests.0.iter().filter(|digest| **digest != 0).count() <= 1;
        let max_buckets = if is_joining { BUCKET_COUNT } else { BUCKETS_PER_SYNC };
        let first = self.periods as usize * BUCKETS_PER_SYNC;
        let chosen: Vec<usize> = (0..BUCKET_COUNT)
            .map(|i| (first + i) % BUCKET_COUNT)
            .filter(|bucket| self.digests.differs(digests, *bucket))
            .take(max_buckets)
            .collect();
        let is_chosen =
            |member: &&Member| chosen.contains(&BucketDigests::bucket(&member.update.host));
        let members = self.members.values().filter(is_chosen);
        SyncResponse {
            members: members.map(|member| GossipedMember::from_update(&member.update)).collect(),
        }
    }

    /// Applies the response to a synchronization request.
    pub fn on_sync_response(&mut self, now: Timestamp, response: &SyncResponse) {
        self.mismatches = 0;
        for member in &response.members {
            self.merge(now, member, Source::Sync);
        }
    }

    /// Applies the state of the node that requests a synchronization, and passes it on by gossip.
    pub fn on_sync_request(&mut self, now: Timestamp, requester: &GossipedMember) {
        self.merge(now, requester, Source::Gossip);
    }
}
