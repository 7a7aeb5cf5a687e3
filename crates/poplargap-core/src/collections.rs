//! Hash collections with a fast hasher.

/// A hash map with a fast, randomly seeded hasher.
pub type HashMap<K, V> = foldhash::HashMap<K, V>;

/// A hash set with a fast, randomly seeded hasher.
pub type HashSet<T> = foldhash::HashSet<T>;

pub use foldhash::{HashMapExt, HashSetExt};
