//! The interface of state machines to drivers and benches.

mod state_machine;

pub use state_machine::Machine;
