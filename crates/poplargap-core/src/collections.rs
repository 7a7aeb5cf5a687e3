//! Hash collections with the foldhash hasher.

/// Hash map with a fast, randomly seeded hasher.
pub type HashMap<K, V> = foldhash::HashMap<K, V>;

/// Hash set with a fast, randomly seeded hasher.
pub type HashSet<T> = foldhash::HashSet<T>;

pub use foldhash::{HashMapExt, HashSetExt};
