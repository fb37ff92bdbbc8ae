use std::sync::Arc;

use celeryhaven_derives::{data, name, number};

name! {
    /// Key of an object, such as `config/current`.
    ObjectKey
}

number! {
    /// Version of an object: the store-wide write counter at the object's last write.
    ObjectVersion(u64)
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
