use std::sync::Arc;

use celeryhaven_derives::{data, name, number};

name! {
    /// Key of an object, such as `config/current`.
    ObjectKey
}

number! {
    /// Version of an object: the era of the store, and its write counter at the object's last write.
    ///
    /// A store that comes back from a copy gives numbers out again that it had given out before. Its
    /// era rises each time, so that versions of a later era are greater. A store without eras is
    /// always in era 0.
    ///
    /// ```
    /// use celeryhaven_types::store::ObjectVersion;
    ///
    /// let (lost, new) = (ObjectVersion::new(900).in_era(1), ObjectVersion::new(30).in_era(2));
    /// assert!(lost < new);
    /// assert_eq!((new.era(), new.revision()), (2, ObjectVersion::new(30)));
    /// ```
    ObjectVersion(u64)
}

/// Bits of a version that hold the write counter; the era is above them.
const REVISION_BITS: u32 = 40;

impl ObjectVersion {
    /// Returns the version of this write counter in an era.
    pub const fn in_era(self, era: u64) -> Self {
        Self::new(era << REVISION_BITS | self.revision().get())
    }

    /// Returns the era of the store.
    pub const fn era(self) -> u64 {
        self.get() >> REVISION_BITS
    }

    /// Returns the version as the store itself numbers it.
    pub const fn revision(self) -> Self {
        Self::new(self.get() & ((1 << REVISION_BITS) - 1))
    }
}

data! {
    /// An object as read from the store.
    #[derive(Eq)]
    #[serde(deny_unknown_fields)]
    pub struct Object {
        /// Key of the object.
        pub key: ObjectKey,
        /// Version of the object.
        pub version: ObjectVersion,
        /// Value of the object, as JSON text of at most 1 MiB.
        pub value: Arc<str>,
    }

    /// A change of an object, as returned by a watch.
    #[derive(Eq)]
    #[serde(deny_unknown_fields)]
    pub struct ObjectChange {
        /// Key of the object.
        pub key: ObjectKey,
        /// The store's version at the change.
        pub version: ObjectVersion,
        /// The new value as JSON text; `None` if the object was deleted.
        pub value: Option<Arc<str>>,
    }
}
