//! Updates to forward.

mod queue;

pub(crate) use queue::GossipQueue;
