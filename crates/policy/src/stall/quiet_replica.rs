use celeryhaven_derives::state;

state! {
    /// A replica that has become quiet.
    pub struct QuietReplica<K> {
        /// The replica.
        pub name: K,
        /// Time since its last event, in milliseconds.
        pub silent_ms: u64,
        /// The silence after which it counts as quiet, in milliseconds.
        pub threshold_ms: u64,
        /// Whether a peer had found it quiet before.
        pub is_told: bool,
    }
}
