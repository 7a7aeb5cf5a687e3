//! Prefix cache with least-recently-used eviction of blocks.

use {lru::LruCache, std::num::NonZeroUsize};

/// Blocks that one insertion added and evicted.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct CacheChange {
    /// Blocks that were evicted.
    pub removed: Vec<u64>,
    /// Blocks that were added.
    pub stored: Vec<u64>,
}

impl CacheChange {
    /// Returns whether nothing changed.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.removed.is_empty() && self.stored.is_empty()
    }
}

/// Cached blocks, each identified by the hash of the whole prefix that it ends.
#[derive(Debug)]
pub struct PrefixCache {
    blocks: LruCache<u64, ()>,
}

impl PrefixCache {
    /// Creates an empty cache of at most `capacity` blocks.
    #[must_use]
    pub fn new(capacity: NonZeroUsize) -> Self {
        Self {
            blocks: LruCache::new(capacity),
        }
    }

    /// Inserts the blocks of one prefix, in prompt order, and marks them as recently used.
    pub fn insert(&mut self, chain: &[u64]) -> CacheChange {
        let mut change = CacheChange::default();
        // Touches the blocks from last to first, so that the end of a chain is evicted before its
        // start.
        for block in chain.iter().rev() {
            if self.blocks.get(block).is_some() {
                continue;
            }
            change.stored.push(*block);
            if let Some((evicted, ())) = self.blocks.push(*block, ()) {
                change.removed.push(evicted);
            }
        }
        change
    }

    /// Returns whether the cache holds no blocks.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.blocks.is_empty()
    }

    /// Returns the number of blocks held.
    #[must_use]
    pub fn len(&self) -> usize {
        self.blocks.len()
    }

    /// Returns how many leading blocks of the chain are cached, and marks them as recently used.
    pub fn lookup(&mut self, chain: &[u64]) -> usize {
        let cached = chain
            .iter()
            .take_while(|block| self.blocks.contains(block))
            .count();
        for block in chain[..cached].iter().rev() {
            self.blocks.promote(block);
        }
        cached
    }
}
