//! Records in the store that several nodes write, as one of these nodes knows them.
//!
//! The crate performs no I/O: the caller reads the store and carries out the writes.
//!
//! | type | purpose |
//! |---|---|
//! | [`RecordTable`] | the records, each at its newest known version |
//! | [`RecordWrite`] | a conditional write that the caller carries out |
//! | [`WriteOutcome`] | what became of it |

mod record_table;
mod record_write;

pub use record_table::{RecordTable, StoredRecord};
pub use record_write::{RecordWrite, WriteOutcome};
