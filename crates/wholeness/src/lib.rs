//! Replica wholeness from member reports, without I/O.
//!
//! A replica serves only while fresh reports of every member agree on the replica, the generation
//! and the boots of all members. One missing, old or disagreeing member makes it unroutable.
//!
//! | module | what it holds |
//! |---|---|
//! | [`agreement`] | the reports of one replica's members and the judgement on them |
//!
//! A member that restarts is in `examples/restarted_member.rs`:
//! `cargo run -p celeryhaven-wholeness --example restarted_member`.

pub mod agreement;

pub use agreement::{Agreement, Assessment, NotWholeReason};
