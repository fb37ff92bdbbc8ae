use celeryhaven_derives::state;
use celeryhaven_types::store::ObjectVersion;

use crate::{CrashRecord, RequestDigest};

state! {
    /// A write to the store that the caller carries out.
    #[derive(Eq)]
    pub enum QuarantineWrite {
        /// Creates the record, or replaces it if it still has this version.
        Put {
            /// The request.
            digest: RequestDigest,
            /// The version to replace; `None` to create the record.
            version: Option<ObjectVersion>,
            /// The new record.
            record: CrashRecord,
        },
        /// Removes the record if it still has this version.
        Delete {
            /// The request.
            digest: RequestDigest,
            /// The version to remove.
            version: ObjectVersion,
        },
    }

    /// Outcome of a write.
    #[derive(Eq)]
    pub enum WriteOutcome {
        /// The record was written with this version.
        Written(ObjectVersion),
        /// The store holds another record.
        Found(ObjectVersion, CrashRecord),
        /// The store holds no record.
        Missing,
        /// The store rejected the call, or the write may have taken effect.
        Failed,
    }
}

impl QuarantineWrite {
    /// Returns the request whose record is written.
    pub const fn digest(&self) -> RequestDigest {
        match self {
            Self::Put { digest, .. } | Self::Delete { digest, .. } => *digest,
        }
    }
}
