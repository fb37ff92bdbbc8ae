use celeryhaven_types::Map;
use rand::Rng;

use crate::interface::TargetKey;

/// A set of targets that can be sampled in constant time.
#[derive(Clone, Debug, Default)]
pub(crate) struct TargetSet {
    targets: Vec<TargetKey>,
    positions: Map<TargetKey, usize>,
}

impl TargetSet {
    pub(crate) fn set(&mut self, target: TargetKey, present: bool) {
        match (self.positions.get(&target).copied(), present) {
            (None, true) => {
                self.positions.insert(target, self.targets.len());
                self.targets.push(target);
            }
            (Some(position), false) => {
                self.positions.remove(&target);
                self.targets.swap_remove(position);
                if let Some(&moved) = self.targets.get(position) {
                    self.positions.insert(moved, position);
                }
            }
            (None, false) | (Some(_), true) => {}
        }
    }

    pub(crate) fn contains(&self, target: TargetKey) -> bool {
        self.positions.contains_key(&target)
    }

    pub(crate) fn is_empty(&self) -> bool {
        self.targets.is_empty()
    }

    pub(crate) fn sample(&self, rng: &mut impl Rng) -> Option<TargetKey> {
        if self.targets.is_empty() {
            return None;
        }
        Some(self.targets[rng.random_range(0..self.targets.len())])
    }
}
