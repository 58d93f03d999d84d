//! Hash maps with a fast hasher.
//!
//! The hasher is not keyed, so maps whose keys a caller chooses are always bounded in size.

/// Hash map with a fast, unkeyed hasher.
pub type FastMap<K, V> = rustc_hash::FxHashMap<K, V>;

/// Hash set with a fast, unkeyed hasher.
pub type FastSet<K> = rustc_hash::FxHashSet<K>;
