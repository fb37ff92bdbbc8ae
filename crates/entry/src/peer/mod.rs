//! Links to other entries.

mod answering;
mod delegation;
mod message;
mod peers;
mod receiving;

pub(crate) use peers::Peers;
