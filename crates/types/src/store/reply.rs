use celeryhaven_derives::state;

use crate::store::{Object, ObjectChange, ObjectVersion};

state! {
    /// Outcome of a call to the Object API.
    pub enum StoreReply {
        /// The object was read.
        Found(Object),
        /// The object does not exist.
        Missing,
        /// Objects with the prefix, at one version of the store.
        Listed {
            /// The store's version.
            version: ObjectVersion,
            /// The objects, sorted by key.
            objects: Vec<Object>,
        },
        /// The write took effect.
        Written {
            /// The object's new version.
            version: ObjectVersion,
        },
        /// The write did not take effect: the object has another version or already exists.
        Conflict,
        /// Changes observed by the watch; empty if there were none before its timeout.
        Changes {
            /// The version up to which the changes are complete.
            version: ObjectVersion,
            /// The changes, in order.
            changes: Vec<ObjectChange>,
        },
        /// The store no longer has the changes after the requested version; list the objects again.
        TooOld,
        /// The store rejected the call without executing it, such as by rate limiting.
        Rejected,
        /// The store did not answer; a write may have taken effect and must be read back before a
        /// retry.
        Unknown,
    }
}

impl StoreReply {
    /// Returns the reply with the versions of an era of the store.
    pub fn in_era(self, era: u64) -> Self {
        let in_era = |version: ObjectVersion| version.in_era(era);
        let object = |object: Object| Object { version: in_era(object.version), ..object };
        let change =
            |change: ObjectChange| ObjectChange { version: in_era(change.version), ..change };
        match self {
            Self::Found(found) => Self::Found(object(found)),
            Self::Listed { version, objects } => Self::Listed {
                version: in_era(version),
                objects: objects.into_iter().map(object).collect(),
            },
            Self::Written { version } => Self::Written { version: in_era(version) },
            Self::Changes { version, changes } => Self::Changes {
                version: in_era(version),
                changes: changes.into_iter().map(change).collect(),
            },
            Self::Missing | Self::Conflict | Self::TooOld | Self::Rejected | Self::Unknown => self,
        }
    }

    /// Whether the store answered and did not reject the call.
    pub const fn is_processed(&self) -> bool {
        !matches!(self, Self::Rejected | Self::Unknown)
    }
}
