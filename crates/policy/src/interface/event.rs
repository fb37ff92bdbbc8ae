use celeryhaven_types::{Organisation, RequestHead, TimeMs, Verdict};

use crate::interface::{TargetKey, TargetLoad, TargetProfile, Ticket};

/// An input to a policy.
#[derive(Clone, Debug)]
pub enum PolicyEvent<'a> {
    /// Processes timers that are due, see
    /// [`RequestPolicy::next_wake`](super::RequestPolicy::next_wake).
    Tick,
    /// A request arrived; its deadline counts from now.
    Arrived {
        /// Identifies the request in later events and decisions.
        ticket: Ticket,
        /// Class, organisation, limits and deadline of the request.
        head: &'a RequestHead,
    },
    /// A target sent the first token or the first byte of its answer.
    Started {
        /// The request that is being answered.
        ticket: Ticket,
    },
    /// The target of a running request is silent; the request is moved if another target can take
    /// it over, and stays where it is otherwise.
    Stalled {
        /// The request.
        ticket: Ticket,
    },
    /// A running request may get a second attempt, beside the one that runs.
    ///
    /// [`Decision::Dispatch`](super::Decision::Dispatch) of the second ticket follows if it does, and
    /// [`Decision::DenyRetry`](super::Decision::DenyRetry) if not. From then on each ticket is an attempt
    /// of the same request; once one has failed or been abandoned, the request goes on as the other.
    SecondAttempt {
        /// The request, whose target is silent or slow.
        ticket: Ticket,
        /// Identifies the second attempt.
        second: Ticket,
        /// Targets that are not sent the second attempt, because they may be silent as well.
        excluded: &'a [TargetKey],
    },
    /// The caller received the whole answer; the ticket is finished.
    Finished {
        /// The request that was answered.
        ticket: Ticket,
        /// Number of tokens in the answer.
        output_tokens: u32,
    },
    /// The choice key of a request has changed, for its later attempts.
    ChoiceKey {
        /// The request.
        ticket: Ticket,
        /// The new key; `None` spreads the request over all targets.
        key: Option<u64>,
    },
    /// An attempt ended without a whole answer; the policy sends it elsewhere or refuses it.
    ///
    /// After [`Verdict::MayHaveRun`], the request is retried only if it is idempotent.
    AttemptFailed {
        /// The request whose attempt failed.
        ticket: Ticket,
        /// Whether the attempt may have run.
        verdict: Verdict,
    },
    /// The caller disconnected; the ticket is finished.
    CallerDisconnected {
        /// The request of the caller.
        ticket: Ticket,
    },
    /// A target accepts requests, or its profile changed.
    TargetUp {
        /// The target.
        target: TargetKey,
        /// What the target serves.
        profile: TargetProfile,
    },
    /// A target accepts no new requests; running ones may finish.
    TargetDown {
        /// The target.
        target: TargetKey,
    },
    /// A load report of a target was received.
    Reported {
        /// The target.
        target: TargetKey,
        /// Its load when the report was made.
        load: TargetLoad,
    },
    /// A target has named a limit, or this node's part of it has changed.
    ///
    /// For a target that comes up with a limit, this event precedes [`PolicyEvent::TargetUp`].
    Limited {
        /// The target.
        target: TargetKey,
        /// Requests a second that this node may send to it; `None` if the limit has ended.
        rate_per_s: Option<f64>,
    },
    /// A target has asked this node for a pause: it receives no request before `until`, and one at
    /// a time from then on until it has answered one.
    ///
    /// For a target that comes up in a pause, this event precedes [`PolicyEvent::TargetUp`].
    BackOff {
        /// The target.
        target: TargetKey,
        /// End of the pause.
        until: TimeMs,
    },
    /// All streams of this node at a target have paused, or one of them has gone on: while it is quiet
    /// it receives no new requests.
    Quiet {
        /// The target.
        target: TargetKey,
        /// Whether it is quiet.
        is_quiet: bool,
    },
    /// The prefix cache of a target changed; events may be late or lost.
    CacheChanged {
        /// The target.
        target: TargetKey,
        /// Blocks that were added to the cache.
        added: &'a [u64],
        /// Blocks that were evicted from the cache.
        removed: &'a [u64],
    },
    /// The number of live entry nodes that send to the same targets, this one included.
    Senders {
        /// Number of nodes.
        nodes: u32,
    },
    /// The organisations of the active configuration.
    Organisations {
        /// All organisations.
        organisations: &'a [Organisation],
    },
}
