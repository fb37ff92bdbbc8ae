use celeryhaven_derives::state;
use celeryhaven_types::TimeMs;
use celeryhaven_types::store::{Object, ObjectChange, ObjectVersion};

state! {
    /// Outcome of an answer from the Object API.
    pub enum FeedUpdate {
        /// The call failed, or its answer is older than the last version received.
        Nothing,
        /// Every object with the prefix; cached objects that are absent were deleted.
        Snapshot {
            /// When the call was sent.
            sent_at: TimeMs,
            /// Version of the store at the listing.
            version: ObjectVersion,
            /// The objects.
            objects: Vec<Object>,
        },
        /// Changes after the last version received, in order; may be empty.
        Changes {
            /// When the call was sent.
            sent_at: TimeMs,
            /// The changes.
            changes: Vec<ObjectChange>,
        },
    }
}
