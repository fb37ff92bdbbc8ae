//! States of targets over time.

mod target_table;

pub use target_table::{TargetRow, TargetTable};
