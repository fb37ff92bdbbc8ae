use std::collections::BTreeSet;

use celeryhaven_types::TimeMs;

use crate::CauseDigest;

/// Maximum number of causes of one generation.
const GENERATION_MAX: usize = 2_048;

/// Maximum age of a generation, in milliseconds.
const GENERATION_AGE_MS: u64 = 15_000;

/// Causes that targets have run lately without ending.
///
/// What it remembers is bounded: a cause is forgotten after two generations at most.
///
/// ```
/// use celeryhaven_quarantine::{CauseDigest, SoundRuns};
/// use celeryhaven_types::TimeMs;
///
/// let digest = CauseDigest::of_request(["POST"], b"");
/// let mut sound = SoundRuns::new();
/// sound.record(TimeMs::new(0), digest);
/// assert!(sound.contains(digest));
/// ```
#[derive(Clone, Debug, Default)]
pub struct SoundRuns {
    current: BTreeSet<CauseDigest>,
    previous: BTreeSet<CauseDigest>,
    current_since: TimeMs,
}

impl SoundRuns {
    /// Creates an empty memory.
    pub fn new() -> Self {
        Self::default()
    }

    /// Records that a target has run a cause and goes on.
    pub fn record(&mut self, now: TimeMs, digest: CauseDigest) {
        let is_old = now.since(self.current_since) >= GENERATION_AGE_MS;
        if is_old || self.current.len() >= GENERATION_MAX {
            self.previous = std::mem::take(&mut self.current);
            self.current_since = now;
        }
        self.current.insert(digest);
    }

    /// Whether a target has run the cause lately.
    pub fn contains(&self, digest: CauseDigest) -> bool {
        self.current.contains(&digest) || self.previous.contains(&digest)
    }
}
