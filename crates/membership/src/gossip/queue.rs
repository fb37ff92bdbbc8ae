use crate::table::MemberKey;

/// Sends of one update per doubling of the fleet; three reach all members with high probability.
const SENDS_PER_DOUBLING: u32 = 3;

/// Members whose update is still to be forwarded, and how often each has been sent.
#[derive(Clone, Debug, Default)]
pub(crate) struct GossipQueue {
    entries: Vec<(u32, MemberKey)>,
}

impl GossipQueue {
    /// Queues the update of a member, with no sends counted.
    pub(crate) fn push(&mut self, key: MemberKey) {
        self.entries.retain(|(_, queued)| *queued != key);
        self.entries.push((0, key));
    }

    /// Whether an update has not been sent at all.
    pub(crate) fn has_fresh(&self) -> bool {
        self.entries.iter().any(|(sent, _)| *sent == 0)
    }

    /// Returns the least often sent updates for one message and counts them as sent.
    ///
    /// An update is dropped after a number of sends that grows with the logarithm of the fleet, so
    /// that many simultaneous failures, such as of a data centre, fill messages only for a limited
    /// time.
    pub(crate) fn take(&mut self, limit: usize, members: usize) -> Vec<MemberKey> {
        let sends_max = SENDS_PER_DOUBLING * (usize::BITS - members.leading_zeros()).max(1);
        self.entries.sort_by_key(|(sent, _)| *sent);
        let keys: Vec<MemberKey> = self.entries.iter().take(limit).map(|(_, key)| *key).collect();
        self.entries.iter_mut().take(limit).for_each(|(sent, _)| *sent += 1);
        self.entries.retain(|(sent, _)| *sent < sends_max);
        keys
    }
}
