//! Digests by which two nodes find the members on which they differ.

use super::member::{GossipedMember, MemberUpdate};
use super::rendezvous::stable_hash;
use crate::ids::HostName;

/// Number of buckets that members are hashed into.
pub const BUCKET_COUNT: usize = 64;

data_type! {
    /// Digest of each bucket of members.
    pub struct BucketDigests(pub Vec<u64>);

    /// Answer to a request for synchronization: the members of every bucket that differs.
    pub struct SyncResponse {
        /// States known to the answering node.
        #[serde(rename = "news")]
        pub members: Vec<GossipedMember>,
    }
}

impl BucketDigests {
    /// Digests of no members.
    pub fn empty() -> BucketDigests {
        BucketDigests(vec![0; BUCKET_COUNT])
    }

    /// Adds or removes one live member: the digest is an exclusive or, so both are the same.
    ///
    /// Only host and incarnation count: a suspicion that comes and goes is no difference, and
    /// dead members are forgotten at different times.
    pub fn toggle(&mut self, update: &MemberUpdate) {
        let bucket = BucketDigests::bucket(&update.host);
        self.0[bucket] ^=
            stable_hash(&[update.host.as_str().as_bytes(), &update.incarnation.0.to_le_bytes()]);
    }

    /// Returns the digest of all buckets together.
    pub fn total(&self) -> u64 {
        self.0.iter().enumerate().fold(0, |total, (i, digest)| total ^ digest.rotate_left(i as u32))
    }

    /// Returns the bucket of a host.
    pub fn bucket(host: &HostName) -> usize {
        (stable_hash(&[host.as_str().as_bytes()]) % BUCKET_COUNT as u64) as usize
    }

    /// Tells whether a bucket differs; a digest of the wrong size differs everywhere.
    pub fn differs(&self, other: &BucketDigests, bucket: usize) -> bool {
        self.0.get(bucket) != other.0.get(bucket)
    }
}
