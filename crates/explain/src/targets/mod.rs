//! What every target was for.

mod target_table;

pub use target_table::{TargetRow, TargetTable};
