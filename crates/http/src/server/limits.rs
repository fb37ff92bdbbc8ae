use std::time::Duration;

/// Limits for each connection of a caller.
#[derive(Clone, Copy, Debug)]
pub struct ServerLimits {
    /// Maximum size of a request head, in bytes.
    pub header_bytes_max: usize,
    /// Maximum time that a connection may stay idle or that reading a request head may take.
    pub idle_timeout: Duration,
}

/// Minimum buffer size that `hyper` accepts, in bytes.
const BUFFER_BYTES_MIN: usize = 8_192;

impl ServerLimits {
    /// Returns the size of the buffer for a request head, in bytes.
    pub(crate) fn buffer_bytes(&self) -> usize {
        self.header_bytes_max.max(BUFFER_BYTES_MIN)
    }
}
