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

    pub(crate) fn iter(&self) -> impl Iterator<Item = TargetKey> {
        self.targets.iter().copied()
    }

    pub(crate) fn is_empty(&self) -> bool {
        self.targets.is_empty()
    }

    /// Returns a random target, and `avoid` only if there is no other.
    pub(crate) fn sample(&self, rng: &mut impl Rng, avoid: Option<TargetKey>) -> Option<TargetKey> {
        let count = self.targets.len();
        if count == 0 {
            return None;
        }
        let avoided = avoid.and_then(|target| self.positions.get(&target));
        Some(match avoided {
            // The others begin behind the avoided target.
            Some(position) if count > 1 => {
                self.targets[(position + rng.random_range(1..count)) % count]
            }
            _ => self.targets[rng.random_range(0..count)],
        })
    }
}
