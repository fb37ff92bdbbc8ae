use celeryhaven_derives::state;
use celeryhaven_types::TimeMs;
use celeryhaven_types::store::ObjectVersion;

use crate::record::LeaseRecord;

state! {
    /// The latest state of the lease's object that this candidate has observed.
    pub(crate) struct ObservedObject {
        /// Version and value; `None` if there was no object.
        pub(crate) object: Option<(ObjectVersion, LeaseRecord)>,
        /// When this candidate first observed the version.
        pub(crate) since: TimeMs,
    }
}

impl ObservedObject {
    /// Returns the observed version; zero if there was no object.
    pub(crate) fn version(&self) -> ObjectVersion {
        self.object.as_ref().map(|(version, _)| *version).unwrap_or_default()
    }
}
