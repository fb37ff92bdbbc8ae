use celeryhaven_derives::data;
use celeryhaven_types::{Refusal, ReplicaName, RequestId};

data! {
    /// The head of an answer.
    #[serde(deny_unknown_fields)]
    pub(crate) struct AnswerHead {
        /// Identity of the request.
        pub(crate) request_id: RequestId,
        /// HTTP status.
        pub(crate) status: u16,
        /// Headers forwarded with the answer.
        pub(crate) headers: Vec<(String, String)>,
        /// Replica that answered.
        pub(crate) replica: Option<ReplicaName>,
        /// Whether the body is streamed.
        pub(crate) streamed: bool,
    }

    /// Part of an answer.
    #[serde(rename_all = "snake_case")]
    pub(crate) enum AnswerPart {
        /// Sent once, before any data.
        Head(AnswerHead),
        /// Bytes of the body.
        Data(Vec<u8>),
    }

    /// Result of an answer.
    #[serde(rename_all = "snake_case")]
    pub(crate) enum End {
        /// The answer is complete.
        Whole,
        /// There is no answer, or it was interrupted.
        Refused(Refusal),
    }
}
