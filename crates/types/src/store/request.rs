use std::sync::Arc;

use celeryhaven_derives::{number, state};

use crate::store::{ObjectKey, ObjectVersion};

number! {
    /// Matches an answer of the Object API to the call that asked for it, inside one node.
    StoreCallId(u64)
}

state! {
    /// A call to the Object API.
    pub enum StoreRequest {
        /// Reads one object.
        Get {
            /// Which.
            key: ObjectKey,
        },
        /// Reads every object below a prefix.
        List {
            /// The prefix.
            prefix: ObjectKey,
        },
        /// Writes an object that must not exist yet.
        Create {
            /// Which.
            key: ObjectKey,
            /// Its value, as JSON text.
            value: Arc<str>,
        },
        /// Replaces an object that must still have this version.
        Update {
            /// Which.
            key: ObjectKey,
            /// The version it was read at.
            version: ObjectVersion,
            /// Its new value, as JSON text.
            value: Arc<str>,
        },
        /// Deletes an object that must still have this version.
        Delete {
            /// Which.
            key: ObjectKey,
            /// The version it was read at.
            version: ObjectVersion,
        },
        /// Waits for changes below a prefix; counts as a call while it waits.
        Watch {
            /// The prefix.
            prefix: ObjectKey,
            /// Changes after this version are wanted.
            from: ObjectVersion,
            /// How long to wait for the first one.
            wait_ms: u64,
        },
    }
}

impl StoreRequest {
    /// Whether it changes an object.
    pub const fn is_write(&self) -> bool {
        matches!(self, Self::Create { .. } | Self::Update { .. } | Self::Delete { .. })
    }
}
