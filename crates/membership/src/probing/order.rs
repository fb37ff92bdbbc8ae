use rand::Rng;
use rand::rngs::SmallRng;
use rand::seq::SliceRandom;

use crate::table::MemberKey;

/// Random order in which every member is probed once per round.
///
/// Bounds the time until a member is probed, while nodes do not all probe the same member.
#[derive(Clone, Debug, Default)]
pub(crate) struct ProbeOrder {
    remaining: Vec<MemberKey>,
}

impl ProbeOrder {
    /// Returns the next eligible member; `refill` lists the members of a new round.
    pub(crate) fn next(
        &mut self,
        rng: &mut SmallRng,
        refill: impl Fn() -> Vec<MemberKey>,
        is_eligible: impl Fn(MemberKey) -> bool,
    ) -> Option<MemberKey> {
        while let Some(key) = self.remaining.pop() {
            if is_eligible(key) {
                return Some(key);
            }
        }
        self.remaining = refill();
        self.remaining.shuffle(rng);
        self.remaining.pop()
    }

    /// Inserts a new member at a random position of the current round.
    pub(crate) fn insert(&mut self, rng: &mut SmallRng, key: MemberKey) {
        let index = rng.random_range(0..=self.remaining.len());
        self.remaining.insert(index, key);
    }
}
