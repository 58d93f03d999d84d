//! Rendezvous hashing over members: all nodes with the same view select the same hosts without
//! communication.

use crate::ids::HostName;

/// Returns the `count` hosts with the highest rendezvous hash for `key`, highest first.
///
/// A host that joins or leaves changes the result only if it is itself among these hosts.
///
/// ```
/// use snipehollow_core::ids::HostName;
/// use snipehollow_core::membership::rank_by_rendezvous;
///
/// let hosts: Vec<HostName> =
///     (0..5).map(|i| HostName::new(&format!("h{i}")).unwrap()).collect();
/// let first = rank_by_rendezvous("watch", hosts.iter(), 2);
/// let again = rank_by_rendezvous("watch", hosts.iter().rev(), 2);
/// assert_eq!(first, again);
/// ```
pub fn rank_by_rendezvous<'a>(
    key: &str,
    hosts: impl Iterator<Item = &'a HostName>,
    count: usize,
) -> Vec<&'a HostName> {
    let mut ranked: Vec<(u64, &HostName)> = hosts.map(|host| (weight(key, host), host)).collect();
    ranked.sort_unstable_by(|a, b| b.cmp(a));
    ranked.into_iter().take(count).map(|(_, host)| host).collect()
}

fn weight(key: &str, host: &HostName) -> u64 {
    stable_hash(&[key.as_bytes(), host.as_str().as_bytes()])
}

/// Returns a hash that is the same on every node and in every build.
///
/// The length of each part is hashed too, so that the same bytes split in another way give
/// another hash.
pub(super) fn stable_hash(parts: &[&[u8]]) -> u64 {
    let mut hasher = blake3::Hasher::new();
    for part in parts {
        hasher.update(&(part.len() as u64).to_le_bytes());
        hasher.update(part);
    }
    let mut first = [0; 8];
    first.copy_from_slice(&hasher.finalize().as_bytes()[..8]);
    u64::from_le_bytes(first)
}
