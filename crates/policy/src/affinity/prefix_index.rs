use std::collections::VecDeque;

use celeryhaven_types::Map;

use crate::interface::TargetKey;

/// Maximum number of targets indexed per block, for prefixes shared by all requests.
const TARGETS_PER_BLOCK_MAX: usize = 8;

/// Maximum number of blocks indexed per target, oldest dropped first, because removal events may be
/// lost.
const BLOCKS_PER_TARGET_MAX: usize = 4_096;

/// An approximate index from prefix blocks to the targets that cache them.
#[derive(Clone, Debug, Default)]
pub(crate) struct PrefixIndex {
    targets_by_block: Map<u64, Vec<TargetKey>>,
    blocks_by_target: Map<TargetKey, VecDeque<u64>>,
}

impl PrefixIndex {
    pub(crate) fn add(&mut self, target: TargetKey, block: u64) {
        let targets = self.targets_by_block.entry(block).or_default();
        if targets.contains(&target) || targets.len() == TARGETS_PER_BLOCK_MAX {
            return;
        }
        targets.push(target);
        let blocks = self.blocks_by_target.entry(target).or_default();
        blocks.push_back(block);
        if blocks.len() > BLOCKS_PER_TARGET_MAX
            && let Some(oldest) = blocks.pop_front()
        {
            self.remove_from_block(target, oldest);
        }
    }

    pub(crate) fn remove(&mut self, target: TargetKey, block: u64) {
        self.remove_from_block(target, block);
    }

    /// Removes a target that is unavailable or restarted with an empty cache.
    pub(crate) fn remove_target(&mut self, target: TargetKey) {
        for block in self.blocks_by_target.remove(&target).unwrap_or_default() {
            self.remove_from_block(target, block);
        }
    }

    /// Returns the targets that cache the longest indexed prefix of these blocks.
    pub(crate) fn longest_prefix_targets(&self, blocks: &[u64]) -> &[TargetKey] {
        let prefix_len = blocks.partition_point(|block| self.targets_by_block.contains_key(block));
        prefix_len
            .checked_sub(1)
            .and_then(|last| self.targets_by_block.get(&blocks[last]))
            .map_or(&[], Vec::as_slice)
    }

    /// Number of leading blocks that any target caches.
    pub(crate) fn prefix_len(&self, blocks: &[u64]) -> usize {
        blocks.partition_point(|block| self.targets_by_block.contains_key(block))
    }

    /// Number of leading blocks that this target caches.
    pub(crate) fn prefix_len_at(&self, target: TargetKey, blocks: &[u64]) -> usize {
        blocks.partition_point(|block| {
            self.targets_by_block.get(block).is_some_and(|targets| targets.contains(&target))
        })
    }

    fn remove_from_block(&mut self, target: TargetKey, block: u64) {
        if let Some(targets) = self.targets_by_block.get_mut(&block) {
            targets.retain(|&other| other != target);
            if targets.is_empty() {
                self.targets_by_block.remove(&block);
            }
        }
    }
}
