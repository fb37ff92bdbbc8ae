//! Claim objects for caller-chosen keys.
//!
//! A claim `once/<organisation>/<SHA-256 of the key>` is created once and names the only incarnation
//! that may run the key. It never changes owner: if the owner is unreachable, the key may have run.

mod claim;
mod outcome;
mod rate_limit;
mod sweep;
mod table;

pub use claim::Claim;
pub(crate) use claim::claim_key;
pub(crate) use outcome::{ClaimOutcome, ClaimStart, ResolvedClaim};
pub(crate) use sweep::Sweep;
pub(crate) use table::Claims;
