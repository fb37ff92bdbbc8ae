use celeryhaven_derives::state;

state! {
    /// Limits on the memory and the tasks that a peer can occupy on a link.
    #[derive(Copy)]
    pub struct LinkLimits {
        /// Maximum message size, in bytes; the default fits a 1 MiB object with its metadata.
        pub message_bytes: usize,
        /// Maximum frame size, in bytes; must fit the largest permitted request body.
        pub frame_bytes: usize,
        /// Handshake timeout, in milliseconds.
        pub handshake_ms: u64,
        /// Timeout for receiving the rest of a started message or frame, in milliseconds.
        pub transfer_ms: u64,
        /// Idle timeout of a link, in milliseconds.
        ///
        /// Should exceed the interval between two membership probes to one node, so that probes reuse
        /// the link instead of repeating the handshake.
        pub idle_ms: u64,
        /// Maximum number of concurrent streams of each kind that a peer may open.
        pub streams: u32,
    }
}

impl Default for LinkLimits {
    fn default() -> Self {
        Self {
            message_bytes: (1 << 20) + (64 << 10),
            frame_bytes: 65 << 20,
            handshake_ms: 3_000,
            transfer_ms: 10_000,
            idle_ms: 300_000,
            streams: 1_024,
        }
    }
}

impl LinkLimits {
    /// Sets the maximum frame size, in bytes.
    pub const fn with_frame_bytes(mut self, frame_bytes: usize) -> Self {
        self.frame_bytes = frame_bytes;
        self
    }
}
