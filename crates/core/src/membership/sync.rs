//! Anti-entropy: digests that show two nodes for which members their views differ.

use super::member::{GossipedMember, MemberUpdate};
use super::rendezvous::stable_hash;
use crate::ids::HostName;

/// Number of buckets that hosts are hashed into.
pub const BUCKET_COUNT: usize = 64;

data_type! {
    /// One digest of the live members for each bucket.
    pub struct BucketDigests(pub Vec<u64>);

    /// Response to a synchronization request, with the members of buckets that differ.
    pub struct SyncResponse {
        /// States of these members, as known to the responding node.
        #[serde(rename = "news", deserialize_with = "crate::lenient::readable_entries")]
        pub members: Vec<GossipedMember>,
    }
}

impl BucketDigests {
    /// Creates the digests of an empty set of members.
    pub fn empty() -> BucketDigests {
        BucketDigests(vec![0; BUCKET_COUNT])
    }

    /// Adds a live member, or removes it if it was added before. Both are the same operation,
    /// because a digest is the exclusive or of the hashes of its members.
    ///
    /// The hash covers only host and incarnation. A suspicion is temporary and should not cause a
    /// synchronization, and dead members are not included because nodes evict them at different
    /// times.
    pub fn toggle(&mut self, update: &MemberUpdate) {
        let bucket = BucketDigests::bucket(&update.host);
        self.0[bucket] ^=
            stable_hash(&[update.host.as_str().as_bytes(), &update.incarnation.0.to_le_bytes()]);
    }

    /// Returns one digest over all buckets.
    pub fn total(&self) -> u64 {
        self.0.iter().enumerate().fold(0, |total, (i, digest)| total ^ digest.rotate_left(i as u32))
    }

    /// Returns the index of the bucket that a host belongs to.
    pub fn bucket(host: &HostName) -> usize {
        (stable_hash(&[host.as_str().as_bytes()]) % BUCKET_COUNT as u64) as usize
    }

    /// Returns whether a bucket differs. Buckets that the other side did not send differ.
    pub fn differs(&self, other: &BucketDigests, bucket: usize) -> bool {
        self.0.get(bucket) != other.0.get(bucket)
    }
}
