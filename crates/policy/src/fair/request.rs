use celeryhaven_derives::state;
use celeryhaven_queue::FlowKey;
use celeryhaven_types::{Priority, TimeMs};

use crate::fair::{AdapterKey, ClassKey};
use crate::interface::{TargetKey, Ticket};
use crate::targets::AttemptEstimate;

state! {
    /// Why a running attempt was cancelled.
    #[derive(Copy, Eq)]
    pub(crate) enum CancelReason {
        /// It can no longer meet its deadline.
        TooLate,
        /// Its target does not answer; the request is retried at another.
        Stuck,
    }

    /// The phase of a request.
    #[derive(Copy)]
    pub(crate) enum Phase {
        /// In the queue of its class.
        Queued,
        /// At a target.
        Running {
            target: TargetKey,
            sent_at: TimeMs,
            started_at: Option<TimeMs>,
            uncached_tokens: f64,
            /// Whether the target had to load the adapter first.
            loads_adapter: bool,
            estimate: AttemptEstimate,
            cancelled: Option<CancelReason>,
        },
    }

    /// The target picked for a request, and the work it has to do there.
    #[derive(Copy)]
    pub(crate) struct Pick {
        pub(crate) target: TargetKey,
        pub(crate) uncached_tokens: f64,
        pub(crate) loads_adapter: bool,
    }

    /// Estimated slot time of a request, in milliseconds.
    #[derive(Copy)]
    pub(crate) struct Cost {
        /// Mean; charged to the share of the flow.
        pub(crate) mean_ms: f64,
        /// Value that most requests stay below; used for deadlines.
        pub(crate) high_ms: f64,
    }

    /// A request without a final answer, or its second attempt.
    pub(crate) struct RequestState {
        pub(crate) class: ClassKey,
        pub(crate) flow: FlowKey,
        pub(crate) idempotent: bool,
        pub(crate) deadline: TimeMs,
        /// When it must be sent to begin within its objective; `None` without an objective.
        pub(crate) send_by: Option<TimeMs>,
        pub(crate) prompt_tokens: u32,
        pub(crate) output_tokens_max: u32,
        pub(crate) adapter: Option<AdapterKey>,
        pub(crate) blocks: Vec<u64>,
        /// Requests with equal keys have the same candidates at every node.
        pub(crate) choice_key: Option<u64>,
        pub(crate) priority: Priority,
        pub(crate) worth: u32,
        /// Whether the overload control applies.
        pub(crate) is_governed: bool,
        /// Whether its first event can no longer come within the objective; only if it is governed.
        pub(crate) is_late: bool,
        /// When it arrived, or became late.
        pub(crate) waits_since: TimeMs,
        /// Time that its target may take to the first event; `None` if it does not count for the window.
        pub(crate) start_allowed_ms: Option<u64>,
        pub(crate) cost: Cost,
        /// Attempts, without those that a target has refused after the answer had begun.
        pub(crate) attempts: u32,
        pub(crate) attempts_max: u32,
        pub(crate) may_have_run: bool,
        /// Whether the answer is streamed and has begun, so that a refusal would break it off.
        pub(crate) has_begun: bool,
        pub(crate) avoid: Option<TargetKey>,
        pub(crate) phase: Phase,
        pub(crate) check_at: Option<TimeMs>,
        /// The other attempt of the same request, if two run.
        pub(crate) partner: Option<Ticket>,
    }
}
