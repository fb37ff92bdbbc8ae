use celeryhaven_derives::data;

use crate::config::Priority;
use crate::names::{AdapterName, ModelName, OrganisationName, RequestId, ServiceName};

data! {
    /// Whether a request may be retried after it may have run.
    #[derive(Copy, Eq, Hash)]
    #[serde(rename_all = "snake_case")]
    pub enum Idempotency {
        /// Running the request more than once is safe.
        Idempotent,
        /// The request runs at most once.
        NonIdempotent,
    }

    /// Kind of target that serves a request.
    #[derive(Eq, Hash)]
    #[serde(rename_all = "snake_case")]
    pub enum RequestClass {
        /// A completion by a model engine.
        Completion {
            /// The requested model.
            model: ModelName,
            /// The requested adapter, if any.
            adapter: Option<AdapterName>,
        },
        /// A call forwarded to a plain service.
        Plain {
            /// The requested service.
            service: ServiceName,
        },
    }

    /// Properties of a request on which scheduling and routing decide.
    #[serde(deny_unknown_fields)]
    pub struct RequestHead {
        /// Identifier that the target echoes.
        pub id: RequestId,
        /// The organisation whose fair share the request counts against.
        pub organisation: OrganisationName,
        /// The kind of target that serves the request.
        pub class: RequestClass,
        /// Priority that the organisation assigns to the request.
        pub priority: Priority,
        /// Worth of an answer before the deadline, relative to other requests.
        pub worth: u32,
        /// Whether the request may be retried after it may have run.
        pub idempotency: Idempotency,
        /// Deadline, in milliseconds from arrival.
        pub deadline_in_ms: u64,
        /// Deadline for the first byte of the answer, in milliseconds from arrival; `None` if only
        /// `deadline_in_ms` applies.
        #[serde(default)]
        pub start_within_ms: Option<u64>,
        /// Maximum number of attempts; `None` if the route sets none.
        #[serde(default)]
        pub attempts_max: Option<u32>,
        /// Number of prompt tokens, estimated by the entry.
        pub prompt_tokens: u32,
        /// Maximum number of output tokens, as requested by the caller.
        pub output_tokens_max: u32,
        /// Hashes of the prompt's prefixes at block boundaries, shortest first.
        pub prefix_hashes: Vec<u64>,
        /// Requests with equal keys are sent to the same few targets by all nodes; `None` spreads
        /// them over all targets.
        #[serde(default)]
        pub choice_key: Option<u64>,
    }
}
