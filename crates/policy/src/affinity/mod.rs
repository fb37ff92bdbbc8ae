//! Index of the prompt prefixes cached at each target, built from cache events that may be late or
//! lost.

mod prefix_index;

pub(crate) use prefix_index::PrefixIndex;
