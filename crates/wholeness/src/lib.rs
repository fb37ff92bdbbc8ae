//! Replica wholeness from member reports, without I/O.
//!
//! A replica serves only while fresh reports of all members agree on the replica, the generation and
//! the boots of all members. A single missing, expired or disagreeing report makes it unroutable.
//!
//! | module | contents |
//! |---|---|
//! | [`agreement`] | the reports of a replica's members and their assessment |
//!
//! See `examples/restarted_member.rs` for a member that restarts:
//! `cargo run -p celeryhaven-wholeness --example restarted_member`.

pub mod agreement;

pub use agreement::{Agreement, Assessment, NotWholeReason};
