use std::sync::Arc;

use celeryhaven_derives::{number, state};

use crate::store::{ObjectKey, ObjectVersion};

number! {
    /// Identifier of a call to the Object API within a node, to match its reply.
    StoreCallId(u64)
}

state! {
    /// A call to the Object API.
    pub enum StoreRequest {
        /// Reads an object.
        Get {
            /// Key of the object.
            key: ObjectKey,
        },
        /// Reads all objects with a prefix.
        List {
            /// The prefix.
            prefix: ObjectKey,
        },
        /// Creates an object; fails if it exists.
        Create {
            /// Key of the object.
            key: ObjectKey,
            /// Value of the object, as JSON text.
            value: Arc<str>,
        },
        /// Replaces an object; fails if it has another version.
        Update {
            /// Key of the object.
            key: ObjectKey,
            /// The expected version.
            version: ObjectVersion,
            /// New value of the object, as JSON text.
            value: Arc<str>,
        },
        /// Deletes an object; fails if it has another version.
        Delete {
            /// Key of the object.
            key: ObjectKey,
            /// The expected version.
            version: ObjectVersion,
        },
        /// Waits for changes of objects with a prefix; counts as an open call while it waits.
        Watch {
            /// The prefix.
            prefix: ObjectKey,
            /// The version after which changes are returned.
            from: ObjectVersion,
            /// How long to wait for the first change.
            wait_ms: u64,
        },
    }
}

impl StoreRequest {
    /// Whether the call changes an object.
    pub const fn is_write(&self) -> bool {
        matches!(self, Self::Create { .. } | Self::Update { .. } | Self::Delete { .. })
    }

    /// Returns the version that the call refers to.
    pub const fn version(&self) -> Option<ObjectVersion> {
        match self {
            Self::Update { version, .. } | Self::Delete { version, .. } => Some(*version),
            Self::Watch { from, .. } => Some(*from),
            Self::Get { .. } | Self::List { .. } | Self::Create { .. } => None,
        }
    }

    /// Returns the call with the version as the store itself numbers it.
    pub fn without_era(&self) -> Self {
        let mut request = self.clone();
        match &mut request {
            Self::Update { version, .. } | Self::Delete { version, .. } => {
                *version = version.revision();
            }
            Self::Watch { from, .. } => *from = from.revision(),
            Self::Get { .. } | Self::List { .. } | Self::Create { .. } => {}
        }
        request
    }
}
