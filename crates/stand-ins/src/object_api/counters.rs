use celeryhaven_derives::data;

data! {
    /// Calls since the start, by kind. A waiting watch counts as one call.
    #[derive(Copy, Default, Eq)]
    #[serde(default)]
    pub struct Counters {
        /// Reads of one object.
        pub gets: u64,
        /// Lists of a prefix.
        pub lists: u64,
        /// Watches.
        pub watches: u64,
        /// Currently waiting watches.
        pub watches_waiting: u64,
        /// Creations and replacements.
        pub puts: u64,
        /// Deletions.
        pub deletes: u64,
        /// Successful writes.
        pub writes_done: u64,
        /// Writes rejected because of a version conflict.
        pub conflicts: u64,
        /// Calls rejected because of the rate limit.
        pub over_rate: u64,
        /// Calls whose connection was closed by a fault.
        pub cut: u64,
    }
}
