//! The control thread: feeds from the store, deciders of domains, what traffic may use.

mod actions;
mod changes;
mod control_loop;
mod counted_store;
mod deciders;
mod deciding;
mod event;
mod feed;
mod feed_updates;
mod heartbeats;
mod publish;
mod relay;
mod suspicions;
mod targets;

pub(crate) use control_loop::{Control, ControlParts};
pub(crate) use event::ControlEvent;
pub(crate) use targets::TargetCalls;
