//! Recognises requests that end the targets that run them, and keeps them away from targets.
//!
//! A node reports a request that was running when a target ended, unless it completes elsewhere
//! soon after; at once if it is suspected already. The reports of all nodes meet in records in the store, which every node follows. A
//! request with crashes of [`CRASHES_MAX`] targets is quarantined: each node refuses it at once. One
//! that completes is acquitted. A few trials, each claimed by one node, show whether a request
//! was quarantined by coincidence.
//!
//! The crate performs no I/O: the caller passes the time and carries out the writes.
//!
//! | type | purpose |
//! |---|---|
//! | [`RequestDigest`] | identifies a request by its content, across attempts and nodes |
//! | [`PendingCrashes`] | crashes that a node has seen and not reported yet |
//! | [`SoundRuns`] | requests that targets have run lately without ending |
//! | [`CrashRecord`] | what the fleet knows of one request, as stored |
//! | [`Quarantine`] | all records, and the reports that are still to be written |
//! | [`Standing`] | how a request is treated |

mod crash_record;
mod pending_crashes;
mod quarantine;
mod request_digest;
mod sound_runs;
mod standing;

pub use crash_record::{CRASHES_MAX, Crash, CrashRecord};
pub use pending_crashes::{PendingCrash, PendingCrashes};
pub use quarantine::{Quarantine, QuarantineWrite};
pub use request_digest::{InvalidDigest, RequestDigest};
pub use sound_runs::SoundRuns;
pub use standing::{Standing, Standings};
