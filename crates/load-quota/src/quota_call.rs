use celeryhaven_derives::state;
use celeryhaven_records::{RecordWrite, WriteOutcome};

use crate::{QuotaRecord, ShardKey};

state! {
    /// A call to the store that the caller carries out.
    pub enum QuotaCall {
        /// Reads whether a caller has sent a request to any node.
        ReadCallers,
        /// Records that a caller has sent a request.
        WriteCallers,
        /// Reads the record of some domains.
        Read(ShardKey),
        /// Writes the record of some domains under a condition.
        Write(ShardKey, RecordWrite<(), QuotaRecord>),
    }

    /// What became of a [`QuotaCall`].
    pub enum QuotaReply {
        /// Whether it is recorded that a caller has sent a request; `None` if the call failed.
        Callers(Option<bool>),
        /// The outcome for the record of some domains.
        Record(WriteOutcome<QuotaRecord>),
    }

    /// A call for the record of one shard.
    pub(crate) enum ShardCall {
        Read,
        Write(RecordWrite<(), QuotaRecord>),
    }
}

impl ShardCall {
    pub(crate) fn of(self, key: ShardKey) -> QuotaCall {
        match self {
            Self::Read => QuotaCall::Read(key),
            Self::Write(write) => QuotaCall::Write(key, write),
        }
    }
}
