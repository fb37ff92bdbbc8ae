//! Controller and entry nodes as state machines without I/O.
//!
//! | module | contents |
//! |---|---|
//! | [`machine`] | interface to drivers and benches |
//! | [`controller`] | state machine of a controller |
//! | [`entry`] | state machine of an entry |

pub mod controller;
pub mod entry;
pub mod machine;

pub use controller::{
    ControllerAction, ControllerEvent, ControllerNode, ControllerOptions, OperatorTicket,
    OrderOutcome,
};
pub use entry::{
    AddressAnswer, Attempt, AttemptEvent, EntryAction, EntryEvent, EntryNode, EntrySettings,
    EntryStatus, KeyAnswer, KeyUse, ObservedLoad, PeerEntry, PeerMessage, PollOutcome,
    ReplicaObservation,
};
pub use machine::Machine;
