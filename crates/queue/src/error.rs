use snafu::Snafu;

/// The queue has reached its limit.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Snafu)]
#[snafu(display("queue is full at {limit} entries: refuse the request or raise the limit"))]
pub struct QueueFull {
    /// Maximum number of entries.
    pub limit: usize,
}
