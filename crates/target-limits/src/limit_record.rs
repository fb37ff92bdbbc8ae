use celeryhaven_derives::data;

data! {
    /// The rate that a target has named, as stored for all nodes.
    #[derive(Copy)]
    pub struct LimitRecord {
        /// Start time of the target's process in Unix milliseconds, if known: a restarted target
        /// has no limit until it names one.
        pub started_at_ms: Option<u64>,
        /// Requests a second from all nodes together.
        pub rate_per_s: f64,
    }
}
