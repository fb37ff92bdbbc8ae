use celeryhaven_derives::data;

use crate::config::Priority;
use crate::names::{AdapterName, ModelName, OrganisationName, RequestId, ServiceName};

data! {
    /// Whether a request may be run again after a failure.
    #[derive(Copy, Eq, Hash)]
    #[serde(rename_all = "snake_case")]
    pub enum Idempotency {
        /// Running it twice does no harm.
        Idempotent,
        /// It runs at most once.
        NonIdempotent,
    }

    /// Which kind of target serves a request.
    #[derive(Eq, Hash)]
    #[serde(rename_all = "snake_case")]
    pub enum RequestClass {
        /// A completion by a model engine.
        Completion {
            /// The model asked for.
            model: ModelName,
            /// The adapter asked for, if any.
            adapter: Option<AdapterName>,
        },
        /// A call passed through to a plain service.
        Plain {
            /// The service asked for.
            service: ServiceName,
        },
    }

    /// What the policy knows of a request before it runs.
    #[serde(deny_unknown_fields)]
    pub struct RequestHead {
        /// Identity that the target echoes.
        pub id: RequestId,
        /// Whose share it counts against.
        pub organisation: OrganisationName,
        /// Which kind of target serves it.
        pub class: RequestClass,
        /// How urgent the organisation calls it.
        pub priority: Priority,
        /// Worth of an answer in time, relative to other requests.
        pub worth: u32,
        /// Whether it may be run again.
        pub idempotency: Idempotency,
        /// Time left until the answer is worthless, in milliseconds from arrival.
        pub deadline_in_ms: u64,
        /// Time within which its answer is to begin, in milliseconds from arrival; `None` if only the
        /// deadline bounds it.
        #[serde(default)]
        pub start_within_ms: Option<u64>,
        /// Tokens of the prompt, estimated by the entry.
        pub prompt_tokens: u32,
        /// Tokens of the answer at most, as the caller asked.
        pub output_tokens_max: u32,
        /// Hashes of the prompt's leading blocks, the longest prefix last.
        pub prefix_hashes: Vec<u64>,
    }
}
