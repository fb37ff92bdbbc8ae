use celeryhaven_derives::state;

state! {
    /// What a caller may send, and how long it may take.
    #[derive(Copy)]
    pub struct CallerLimits {
        /// Longest head of a request, in bytes.
        pub header_bytes_max: usize,
        /// Longest body of a request, in bytes.
        pub body_bytes_max: usize,
        /// Longest time that a head may take to arrive, in milliseconds.
        pub header_timeout_ms: u64,
        /// Longest time that a connection may stay idle, in milliseconds.
        pub idle_timeout_ms: u64,
    }
}
