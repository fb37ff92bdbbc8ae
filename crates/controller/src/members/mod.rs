//! Polls and orders to members, and the VM list.

mod client;
mod deadline;

pub(crate) use client::Members;
pub(crate) use deadline::run_before;
