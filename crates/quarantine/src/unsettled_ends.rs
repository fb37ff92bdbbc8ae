use std::collections::{BTreeMap, BTreeSet};

use celeryhaven_types::TimeMs;

use crate::CauseDigest;

/// Ends from which on a content is held, known and unsettled ones together: one more would suffice to
/// quarantine it.
const HELD_ENDS: usize = 2;

/// Maximum number of contents.
const CONTENTS_MAX: usize = 1_024;

/// Contents that were running when targets may have ended, until that is known.
///
/// What ends its targets must not run in many places while nobody knows whether it does; what does
/// not must not be refused meanwhile. A content that is held runs once at a time in a node.
///
/// ```
/// use celeryhaven_quarantine::{CauseDigest, UnsettledEnds};
/// use celeryhaven_types::TimeMs;
///
/// let (now, later) = (TimeMs::new(0), TimeMs::new(500));
/// let digest = CauseDigest::of_request(["POST"], b"");
/// let mut ends = UnsettledEnds::new();
/// ends.record(digest, "vm-1", later);
/// assert!(ends.held(now, |_| 0).is_empty());
/// ends.record(digest, "vm-2", later);
/// assert!(ends.held(now, |_| 0).contains(&digest));
/// ends.settle(&"vm-2");
/// assert!(ends.held(now, |_| 0).is_empty());
/// ```
#[derive(Clone, Debug)]
pub struct UnsettledEnds<P> {
    /// The processes that may have ended under each content, and until when that counts.
    by_content: BTreeMap<CauseDigest, BTreeMap<P, TimeMs>>,
}

impl<P: Ord> UnsettledEnds<P> {
    /// Creates an empty set.
    pub fn new() -> Self {
        Self { by_content: BTreeMap::new() }
    }

    /// Records that a process may have ended while it ran a content.
    ///
    /// Nothing is recorded if there are too many contents.
    pub fn record(&mut self, digest: CauseDigest, process: P, until: TimeMs) {
        if self.by_content.len() < CONTENTS_MAX || self.by_content.contains_key(&digest) {
            let processes = self.by_content.entry(digest).or_default();
            let known = processes.entry(process).or_insert(until);
            *known = until.max(*known);
        }
    }

    /// Removes a process of which is known now whether it has ended.
    pub fn settle(&mut self, process: &P) {
        self.by_content.retain(|_, processes| {
            processes.remove(process);
            !processes.is_empty()
        });
    }

    /// Returns the contents that are held, given the number of known ends of each, and forgets what
    /// no longer counts.
    pub fn held(
        &mut self,
        now: TimeMs,
        known_ends: impl Fn(CauseDigest) -> usize,
    ) -> BTreeSet<CauseDigest> {
        self.by_content.retain(|_, processes| {
            processes.retain(|_, until| *until > now);
            !processes.is_empty()
        });
        let contents = self.by_content.iter();
        let held = contents
            .filter(|(digest, processes)| processes.len() + known_ends(**digest) >= HELD_ENDS);
        held.map(|(digest, _)| *digest).collect()
    }
}

impl<P: Ord> Default for UnsettledEnds<P> {
    fn default() -> Self {
        Self::new()
    }
}
