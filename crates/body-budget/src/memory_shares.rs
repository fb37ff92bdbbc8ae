/// Part of the memory that is left free, as a divisor: what the allocator and the kernel hold is not
/// counted exactly.
const MARGIN_DIVISOR: u64 = 8;

/// Part of the memory that is kept for answers and for growth between two measurements, as a divisor.
const ANSWERS_DIVISOR: u64 = 16;

/// Part of the memory that bodies may always use, as a divisor.
const BODIES_MIN_DIVISOR: u64 = 16;

/// Least memory that a process uses without any body, in bytes.
const BASE_BYTES: u64 = 16 * 1024 * 1024;

/// How the memory of a node is shared between request bodies and everything else.
///
/// ```
/// use celeryhaven_body_budget::MemoryShares;
/// let shares = MemoryShares::new(256 << 20);
/// // What else grows, such as connections of callers, leaves less for bodies.
/// assert!(shares.body_bytes(100 << 20) < shares.body_bytes(20 << 20));
/// ```
#[derive(Clone, Copy, Debug)]
pub struct MemoryShares {
    memory_bytes: u64,
}

impl MemoryShares {
    /// Creates the shares of a process that may use this many bytes.
    pub const fn new(memory_bytes: u64) -> Self {
        Self { memory_bytes }
    }

    /// Returns how many bytes bodies may use while the process uses `other_bytes` for all else.
    pub fn body_bytes(&self, other_bytes: u64) -> u64 {
        let usable = self.memory_bytes - self.memory_bytes / MARGIN_DIVISOR;
        let kept = self.memory_bytes / ANSWERS_DIVISOR;
        let free = usable.saturating_sub(other_bytes.max(BASE_BYTES) + kept);
        free.max(self.memory_bytes / BODIES_MIN_DIVISOR)
    }

    /// Returns the most bytes of answers that all callers together may leave unread.
    ///
    /// Each caller may leave one chunk unread beyond it.
    pub fn unread_answer_bytes(&self) -> u64 {
        self.memory_bytes / ANSWERS_DIVISOR / 2
    }
}
