//! Hash maps and sets with a fast hasher.
//!
//! The hasher is unkeyed, so a caller could choose keys that collide. Every map whose keys come
//! from callers is therefore bounded in size.

/// Hash map with a fast, unkeyed hasher.
pub type FastMap<K, V> = rustc_hash::FxHashMap<K, V>;

/// Hash set with a fast, unkeyed hasher.
pub type FastSet<K> = rustc_hash::FxHashSet<K>;
