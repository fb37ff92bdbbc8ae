use celeryhaven_derives::state;

state! {
    /// Size and time limits for caller requests.
    #[derive(Copy)]
    pub struct CallerLimits {
        /// Maximum size of a request head, in bytes.
        pub header_bytes_max: usize,
        /// Maximum size of a request body, in bytes.
        pub body_bytes_max: usize,
        /// Maximum time until the head is complete, in milliseconds.
        pub header_timeout_ms: u64,
        /// Maximum idle time of a connection, in milliseconds.
        pub idle_timeout_ms: u64,
    }
}
