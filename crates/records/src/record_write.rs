use celeryhaven_derives::state;
use celeryhaven_types::store::ObjectVersion;

state! {
    /// A conditional write to the store that the caller carries out.
    #[derive(Eq)]
    pub enum RecordWrite<K, R> {
        /// Creates the record, or replaces it if it still has this version.
        Put {
            /// The key of the record.
            key: K,
            /// The version to replace; `None` to create the record.
            version: Option<ObjectVersion>,
            /// The new record.
            record: R,
        },
        /// Removes the record if it still has this version.
        Delete {
            /// The key of the record.
            key: K,
            /// The version to remove.
            version: ObjectVersion,
        },
    }

    /// Outcome of a write.
    #[derive(Eq)]
    pub enum WriteOutcome<R> {
        /// The write took effect; a record that was put has this version.
        Written(ObjectVersion),
        /// The store holds another record.
        Found(ObjectVersion, R),
        /// The store holds no record.
        Missing,
        /// The store rejected the call, or the write may have taken effect.
        Failed,
    }
}

impl<K, R> RecordWrite<K, R> {
    /// Returns the key of the record.
    pub const fn key(&self) -> &K {
        match self {
            Self::Put { key, .. } | Self::Delete { key, .. } => key,
        }
    }
}
