//! Whole fleets of real processes on loopback: tests, the demo, the overhead measurement.
//!
//! None of this ships. A [`Fleet`] starts stand-ins, entries and controllers as separate processes
//! and ends them all when it is dropped.
//!
//! | module | what it holds |
//! |---|---|
//! | [`load`] | callers that ask for addresses and try again, and what they were told |
//! | [`process`] | one child process: logs, pause, kill, stop |
//! | [`fleet`] | shapes, addresses, settings files, the processes of one fleet |
//! | [`relay`] | a TCP link that can be cut |

pub mod fleet;
pub mod load;
pub mod process;
pub mod relay;

pub use fleet::{Fleet, FleetError, FleetShape};
pub use load::{FleetCaller, History, Tally};
pub use process::Process;
pub use relay::Relay;
