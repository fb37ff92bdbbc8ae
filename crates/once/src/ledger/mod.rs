//! Execution state of each key in one process.

mod limits;
mod state;
mod table;

pub use limits::LedgerLimits;
pub use state::{DroppedAnswer, EnterOutcome, Released};
pub use table::Ledger;
