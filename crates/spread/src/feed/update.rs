use celeryhaven_derives::state;
use celeryhaven_types::TimeMs;
use celeryhaven_types::store::{Object, ObjectChange, ObjectVersion};

state! {
    /// What an answer of the Object API brought.
    pub enum FeedUpdate {
        /// It failed, or is from before the version already seen.
        Nothing,
        /// Every object below the prefix; those known and absent were deleted.
        Snapshot {
            /// When the call that it answers was sent.
            sent_at: TimeMs,
            /// The store's version.
            version: ObjectVersion,
            /// The objects.
            objects: Vec<Object>,
        },
        /// Changes after what was known, in order; perhaps none.
        Changes {
            /// When the call that it answers was sent.
            sent_at: TimeMs,
            /// The changes.
            changes: Vec<ObjectChange>,
        },
    }
}
