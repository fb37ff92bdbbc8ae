//! Counters and the rates derived from them.

mod counted;

pub use counted::{Figures, MessageKind};
