use std::hash::{BuildHasher, Hash};

use foldhash::quality::FixedState;

/// Hash seed; identical on every node.
const SEED: u64 = 0x72_61_6e_6b;

/// Returns the rendezvous hash of a candidate for a role.
///
/// Every node computes the same value; the candidates with the highest values take the role, and
/// removing a candidate moves only its own roles.
pub(crate) fn rank(role: &str, candidate: &str) -> u64 {
    FixedState::with_seed(SEED).hash_one(Ranked { role, candidate })
}

#[derive(Hash)]
struct Ranked<'a> {
    role: &'a str,
    candidate: &'a str,
}
