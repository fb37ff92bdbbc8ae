use std::collections::BTreeMap;

use celeryhaven_types::TimeMs;

use crate::{CauseDigest, Hold};

/// Ends from which on a content is held, known and unsettled ones together: one more would suffice to
/// quarantine it.
const HELD_ENDS: usize = 2;

/// Ends from which on a content waits until some are settled.
const STOPPED_ENDS: usize = 4;

/// Maximum number of contents.
const CONTENTS_MAX: usize = 1_024;

/// Contents that were running when targets may have ended, until that is known.
///
/// What ends its targets must not run in many places while nobody knows whether it does; what does
/// not must not be refused meanwhile. A content that is held runs once at a time in a node, and not at
/// all once so many targets may have ended that the next verdict decides.
///
/// ```
/// use celeryhaven_quarantine::{CauseDigest, Hold, UnsettledEnds};
/// use celeryhaven_types::TimeMs;
///
/// let (now, later) = (TimeMs::new(0), TimeMs::new(500));
/// let digest = CauseDigest::of_request(["POST"], b"");
/// let mut ends = UnsettledEnds::new();
/// ends.record(digest, "vm-1", later);
/// assert!(ends.held(now, |_| 0).is_empty());
/// ends.record(digest, "vm-2", later);
/// assert_eq!(ends.held(now, |_| 0).get(&digest), Some(&Hold::OneAtATime));
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
    ) -> BTreeMap<CauseDigest, Hold> {
        self.by_content.retain(|_, processes| {
            processes.retain(|_, until| *until > now);
            !processes.is_empty()
        });
        let contents = self.by_content.iter();
        let held = contents.filter_map(|(digest, processes)| {
            let hold = match processes.len() + known_ends(*digest) {
                ends if ends >= STOPPED_ENDS => Hold::Stopped,
                ends if ends >= HELD_ENDS => Hold::OneAtATime,
                _ => return None,
            };
            Some((*digest, hold))
        });
        held.collect()
    }
}

impl<P: Ord> Default for UnsettledEnds<P> {
    fn default() -> Self {
        Self::new()
    }
}
