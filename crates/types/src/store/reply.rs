use celeryhaven_derives::state;

use crate::store::{Object, ObjectChange, ObjectVersion};

state! {
    /// What became of a call to the Object API.
    pub enum StoreReply {
        /// The object was read.
        Found(Object),
        /// There is no such object.
        Missing,
        /// Objects below the prefix, at one version of the store.
        Listed {
            /// The store's version.
            version: ObjectVersion,
            /// The objects, by name.
            objects: Vec<Object>,
        },
        /// The write took effect.
        Written {
            /// The object's new version.
            version: ObjectVersion,
        },
        /// The write did not take effect: the object is at another version, or exists.
        Conflict,
        /// Changes that the watch saw; none if it waited in vain.
        Changes {
            /// The version up to which nothing is missing.
            version: ObjectVersion,
            /// The changes in order.
            changes: Vec<ObjectChange>,
        },
        /// The watch asked for changes that the store no longer keeps; list again.
        TooOld,
        /// The store refused the call without carrying it out, such as for its rate.
        Rejected,
        /// No answer: a write may have taken effect, and must be read back before another try.
        Unknown,
    }
}

impl StoreReply {
    /// Whether the store answered and did not turn the call away.
    pub const fn is_processed(&self) -> bool {
        !matches!(self, Self::Rejected | Self::Unknown)
    }
}
