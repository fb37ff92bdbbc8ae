//! Events, actions and state of an entry process.

mod action;
mod attempt;
mod catalogue;
mod event;
mod fleet;
mod inputs;
mod leaving;
mod node;
mod observers;
mod observing;
mod peer;
mod peers;
mod rank;
mod serving;
mod settings;
mod surface;

pub use action::EntryAction;
pub use attempt::{Attempt, AttemptEvent};
pub use event::{EntryEvent, KeyUse, PollOutcome};
pub use node::EntryNode;
pub use peer::{ObservedLoad, PeerMessage, ReplicaObservation};
pub use peers::PeerEntry;
pub use settings::EntrySettings;
pub use surface::{AddressAnswer, EntryStatus, KeyAnswer, ReplicaStatus};
