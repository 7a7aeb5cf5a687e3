//! A cache of prompt prefixes with least-recently-used eviction.

use {lru::LruCache, std::num::NonZeroUsize};

/// What one insertion changed.
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

/// Blocks of prompt prefixes, each known by the hash of its whole prefix.
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

    /// Adds the blocks of one chain and marks them as used.
    pub fn insert(&mut self, chain: &[u64]) -> CacheChange {
        let mut change = CacheChange::default();
        // From the last block to the first, so that eviction takes a chain's end before its start.
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

    /// Returns whether the cache holds no block.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.blocks.is_empty()
    }

    /// Returns the number of blocks held.
    #[must_use]
    pub fn len(&self) -> usize {
        self.blocks.len()
    }

    /// Returns how many of the chain's first blocks are held, and marks them as used.
    pub fn lookup(&mut self, chain: &[u64]) -> usize {
        let held = chain
            .iter()
            .take_while(|block| self.blocks.contains(block))
            .count();
        for block in chain[..held].iter().rev() {
            self.blocks.promote(block);
        }
        held
    }
}
