//! Leases over a versioned store, without I/O.
//!
//! A [`Lease`] decides which process may act for a resource, such as a fabric domain. Its owner
//! provides the time, the state of the lease's object and the replies to its calls. The lease returns
//! the next call, and whether its holder may act now.
//!
//! | module | contents |
//! |---|---|
//! | [`record`] | the value of the lease's object |
//! | [`settings`] | durations |
//! | [`machine`] | the state machine of a candidate |
//!
//! Failures that it handles:
//!
//! - *Clock skew.* Clocks of different machines are never compared. A candidate measures the time
//!   since it last observed a change of the object; a holder measures from when it **sent** its last
//!   successful renewal, which is never later than the write that others observe.
//! - *A paused holder.* Its term ends, by a margin, before any candidate considers the lease expired.
//!   If its clock stops during the pause, fencing protects: each new holder has a higher number, and
//!   guarded writes of the store and targets that check it reject lower ones.
//! - *A lost reply.* A write without a reply is read back, by its identity, before the next one.
//!
//! Source: C. Gray, D. Cheriton, "Leases: An Efficient Fault-Tolerant Mechanism for Distributed File
//! Cache Consistency", SOSP 1989.
//!
//! See `examples/two_candidates.rs` for a holder that stops renewing:
//! `cargo run -p celeryhaven-lease --example two_candidates`.

pub mod machine;
pub mod record;
pub mod settings;

pub use machine::{Lease, Proximity};
pub use record::LeaseRecord;
pub use settings::LeaseSettings;
