//! Leases over a versioned store, without I/O.
//!
//! A [`Lease`] decides who may act for one named thing, such as a fabric domain. Its owner feeds it
//! time, what it read of the lease's object and the answers to its calls; it says which call to make
//! next and whether its holder may act now.
//!
//! | module | what it holds |
//! |---|---|
//! | [`record`] | the object's value |
//! | [`settings`] | spans of time |
//! | [`machine`] | the state machine of one candidate |
//!
//! What it guards against:
//!
//! - *Clocks that differ.* Nobody compares two machines' clocks. An observer counts its own elapsed
//!   time since it last saw the object change; a holder counts from when it **sent** its last
//!   successful renewal, which is never later than the write that observers saw.
//! - *A paused holder.* Its time is up on its own clock before any observer's is, by a margin. If
//!   its clock stood still during the pause, the fencing number is what stops it: each new holder
//!   has a higher one, which the store's guarded writes and checking targets refuse to go below.
//! - *A lost answer.* A write without an answer is read back by its identity before the next one.
//!
//! Source: C. Gray, D. Cheriton, "Leases: An Efficient Fault-Tolerant Mechanism for Distributed File
//! Cache Consistency", SOSP 1989.
//!
//! Two candidates, one of which stops renewing, are in `examples/two_candidates.rs`:
//! `cargo run -p celeryhaven-lease --example two_candidates`.

pub mod machine;
pub mod record;
pub mod settings;

pub use machine::{Lease, Proximity};
pub use record::LeaseRecord;
pub use settings::LeaseSettings;
