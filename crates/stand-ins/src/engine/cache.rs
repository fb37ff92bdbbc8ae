use std::collections::BTreeMap;

use celeryhaven_types::Map;

use crate::engine::CacheEvent;

/// A bounded LRU cache of prompt blocks.
#[derive(Debug)]
pub struct PrefixCache {
    blocks_max: usize,
    use_count: u64,
    last_use: Map<u64, u64>,
    by_use: BTreeMap<u64, u64>,
}

impl PrefixCache {
    /// Creates an empty cache with a capacity in blocks.
    pub fn new(blocks_max: usize) -> Self {
        Self { blocks_max, use_count: 0, last_use: Map::default(), by_use: BTreeMap::new() }
    }

    /// Returns the number of consecutive leading blocks that are cached.
    pub fn cached_prefix_len(&self, blocks: &[u64]) -> usize {
        blocks.iter().take_while(|block| self.last_use.contains_key(block)).count()
    }

    /// Returns the blocks that are cached.
    pub fn cached_blocks(&self, blocks: &[u64]) -> Vec<u64> {
        blocks.iter().copied().filter(|block| self.last_use.contains_key(block)).collect()
    }

    /// Inserts or refreshes blocks and evicts the least recently used ones beyond the capacity.
    pub fn insert(&mut self, blocks: &[u64]) -> CacheEvent {
        let mut event = CacheEvent::default();
        for block in blocks {
            self.use_count += 1;
            match self.last_use.insert(*block, self.use_count) {
                Some(previous_use) => {
                    self.by_use.remove(&previous_use);
                }
                None => event.added.push(*block),
            }
            self.by_use.insert(self.use_count, *block);
        }
        while self.last_use.len() > self.blocks_max {
            let Some((_, block)) = self.by_use.pop_first() else { break };
            self.last_use.remove(&block);
            event.removed.push(block);
        }
        event
    }

    /// Returns the number of cached blocks.
    pub fn len(&self) -> usize {
        self.last_use.len()
    }

    /// Whether the cache is empty.
    pub fn is_empty(&self) -> bool {
        self.last_use.is_empty()
    }
}
