use celeryhaven_derives::state;
use celeryhaven_types::TimeMs;

use crate::record::LeaseRecord;

state! {
    /// A call without a reply yet.
    pub(crate) enum Call {
        /// A read of the object, before it is acquired or after an unconfirmed write.
        Read { sent_at: TimeMs },
        /// A write of the record.
        Write { sent_at: TimeMs, record: LeaseRecord },
    }

    /// A write whose result is unknown.
    pub(crate) struct UnconfirmedWrite {
        pub(crate) sent_at: TimeMs,
        pub(crate) record: LeaseRecord,
    }
}

impl Call {
    pub(crate) const fn sent_at(&self) -> TimeMs {
        match self {
            Self::Read { sent_at } | Self::Write { sent_at, .. } => *sent_at,
        }
    }
}
