//! Recognises what ends the targets that run it, and keeps it away from targets.
//!
//! A cause is the content of a request, or a part of prompts that many requests share. A node reports
//! what was running when a target ended, unless it completes elsewhere soon after; at once if it is
//! suspected already. The reports of all nodes meet in records in the store, which every node
//! follows. A cause with crashes of [`CRASHES_MAX`] targets is quarantined, and each node refuses the
//! requests that hold it. What other causes share of its crashes is explained by it. A run that
//! completes refutes the crashes before it. A few trials, each claimed by one node, show whether a
//! cause was quarantined by coincidence.
//!
//! The crate performs no I/O: the caller passes the time and carries out the writes.
//!
//! | type | purpose |
//! |---|---|
//! | [`CauseDigest`] | identifies a cause across attempts and nodes |
//! | [`PendingCrashes`] | crashes that a node has seen and not reported yet |
//! | [`SoundRuns`] | causes that targets have run lately without ending |
//! | [`CrashRecord`] | what the fleet knows of one cause, as stored |
//! | [`Quarantine`] | all records, and the reports that are still to be written |
//! | [`UnsettledEnds`] | contents that were running when targets may have ended |
//! | [`Hold`] | how such a content is held meanwhile |
//! | [`Standing`] | how the requests that hold a cause are treated |

mod cause_digest;
mod crash_record;
mod hold;
mod pending_crashes;
mod quarantine;
mod sound_runs;
mod standing;
mod unsettled_ends;

pub use cause_digest::{CauseDigest, InvalidDigest};
pub use crash_record::{CRASHES_MAX, CauseKind, Crash, CrashRecord};
pub use hold::Hold;
pub use pending_crashes::{PendingCrash, PendingCrashes};
pub use quarantine::{Quarantine, QuarantineWrite};
pub use sound_runs::SoundRuns;
pub use standing::{Standing, Standings};
pub use unsettled_ends::UnsettledEnds;
