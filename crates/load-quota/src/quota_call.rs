use celeryhaven_derives::state;
use celeryhaven_records::RecordWrite;

use crate::QuotaRecord;

state! {
    /// A call to the store that the caller carries out.
    pub enum QuotaCall {
        /// Reads the record.
        Read,
        /// Writes the record under a condition.
        Write(RecordWrite<(), QuotaRecord>),
    }
}
