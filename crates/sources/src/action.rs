use celeryhaven_derives::state;
use celeryhaven_types::TimeMs;

use crate::Source;

state! {
    /// Identifies a poll of one node.
    #[derive(Copy, Eq, PartialOrd, Ord)]
    pub struct PollId(pub(crate) u64);

    /// Why a source is polled.
    #[derive(Copy, Eq)]
    pub enum PollPurpose {
        /// It is followed.
        Follow,
        /// The followed source does not answer in time.
        Search,
        /// It is preferred to the followed one.
        Return,
    }

    /// A poll to be made. Its reply or failure is reported to
    /// [`SourceFollower`](crate::SourceFollower).
    #[derive(Eq)]
    pub struct Poll {
        /// The poll.
        pub id: PollId,
        /// The polled source.
        pub source: Source,
        /// Why it is polled.
        pub purpose: PollPurpose,
        /// Time of the poll.
        pub sent_at: TimeMs,
        /// Time for which the source may wait for a change, in milliseconds.
        pub wait_ms: u64,
        /// Time after which the poll has failed, in milliseconds.
        pub timeout_ms: u64,
    }

    /// What a node has to do.
    #[derive(Eq)]
    pub enum Action {
        /// Make a poll.
        Poll(Poll),
        /// Give a poll up.
        Cancel(PollId),
        /// Read all objects from this source from now on.
        Follow(Source),
        /// Tell the followers of this node whether it has lost its sources.
        SetLost(bool),
    }
}
