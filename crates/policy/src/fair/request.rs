use celeryhaven_derives::state;
use celeryhaven_queue::FlowKey;
use celeryhaven_types::{Priority, TimeMs};

use crate::fair::{AdapterKey, ClassKey};
use crate::interface::TargetKey;
use crate::targets::Expected;

state! {
    /// Why a running attempt was cancelled.
    #[derive(Copy, Eq)]
    pub(crate) enum CancelReason {
        /// It cannot be in time any more.
        TooLate,
        /// Its target gives no first token; it goes elsewhere.
        Stuck,
    }

    /// Where a request stands.
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
            expected: Expected,
            cancelled: Option<CancelReason>,
        },
    }

    /// The target chosen for a request and what it has to do there.
    #[derive(Copy)]
    pub(crate) struct Pick {
        pub(crate) target: TargetKey,
        pub(crate) uncached_tokens: f64,
        pub(crate) loads_adapter: bool,
    }

    /// Expected time in a slot, in milliseconds.
    #[derive(Copy)]
    pub(crate) struct Cost {
        /// What it takes on average; shares are charged by it.
        pub(crate) mean_ms: f64,
        /// What most stay under; deadlines are judged by it.
        pub(crate) high_ms: f64,
    }

    /// One request that has not had its final answer.
    pub(crate) struct RequestState {
        pub(crate) class: ClassKey,
        pub(crate) flow: FlowKey,
        pub(crate) idempotent: bool,
        pub(crate) deadline: TimeMs,
        /// When it must be at a target, if it must be before its deadline makes it.
        pub(crate) send_by: Option<TimeMs>,
        pub(crate) prompt_tokens: u32,
        pub(crate) output_tokens_max: u32,
        pub(crate) adapter: Option<AdapterKey>,
        pub(crate) blocks: Vec<u64>,
        pub(crate) priority: Priority,
        pub(crate) worth: u32,
        pub(crate) cost: Cost,
        pub(crate) attempts: u32,
        pub(crate) may_have_run: bool,
        pub(crate) avoid: Option<TargetKey>,
        pub(crate) phase: Phase,
        pub(crate) wake_at: Option<TimeMs>,
    }
}
