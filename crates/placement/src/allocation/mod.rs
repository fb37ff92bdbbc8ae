//! Number and version of each deployment's replicas in each fabric domain.

mod allocate;
mod allocation_draft;
mod packing;
mod record;
mod rollout;

pub use allocate::{DomainCapacity, allocate, replicas_unplaced};
pub use record::{Allocation, Share};

pub(crate) use allocate::allocate_after_rollout;
pub(crate) use rollout::{assign_versions, is_rollout_complete};
