use std::time::Duration;

/// What a caller may take.
#[derive(Clone, Copy, Debug)]
pub struct ServerLimits {
    /// Longest head of a request, in bytes.
    pub header_bytes_max: usize,
    /// Longest time that a channel may stay idle, or a head may take.
    pub idle: Duration,
}

/// Least buffer that `hyper` accepts, in bytes.
const BUFFER_BYTES_MIN: usize = 8_192;

impl ServerLimits {
    /// Size of the buffer that holds a head.
    pub(crate) fn buffer_bytes(&self) -> usize {
        self.header_bytes_max.max(BUFFER_BYTES_MIN)
    }
}
