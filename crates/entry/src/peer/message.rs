use celeryhaven_derives::data;
use celeryhaven_types::{Incarnation, OrganisationName, RequestHead};

use crate::exchange::{AnswerPart, End, ForwardRequest};

data! {
    /// Request frame of a delegated request.
    #[serde(deny_unknown_fields)]
    pub(crate) struct DelegatedRequest {
        /// Destination incarnation; any other refuses the request.
        pub(crate) to: Incarnation,
        /// Organisation of the caller, authenticated by the delegating entry.
        pub(crate) organisation: OrganisationName,
        /// Idempotency key of the caller.
        pub(crate) key: String,
        /// Head of the request; its deadline counts from the arrival of this frame.
        pub(crate) head: RequestHead,
        /// The request as sent to a target.
        pub(crate) request: ForwardRequest,
    }

    /// Answer frame of a delegated request.
    #[serde(rename_all = "snake_case")]
    pub(crate) enum AnswerFrame {
        /// Part of the answer.
        Part(AnswerPart),
        /// Result of the answer; the last frame.
        End(End),
    }
}
