use celeryhaven_types::Map;
use rand::Rng;

use crate::interface::TargetKey;

/// Targets of one class that may take a request now, for sampling in constant time.
#[derive(Clone, Debug, Default)]
pub(crate) struct Available {
    targets: Vec<TargetKey>,
    places: Map<TargetKey, usize>,
}

impl Available {
    pub(crate) fn set(&mut self, target: TargetKey, available: bool) {
        match (self.places.get(&target).copied(), available) {
            (None, true) => {
                self.places.insert(target, self.targets.len());
                self.targets.push(target);
            }
            (Some(place), false) => {
                self.places.remove(&target);
                self.targets.swap_remove(place);
                if let Some(&moved) = self.targets.get(place) {
                    self.places.insert(moved, place);
                }
            }
            (None, false) | (Some(_), true) => {}
        }
    }

    pub(crate) fn contains(&self, target: TargetKey) -> bool {
        self.places.contains_key(&target)
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
