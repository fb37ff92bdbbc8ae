use celeryhaven_derives::data;
use celeryhaven_types::RequestId;

data! {
    /// Kind of answer that a request expects.
    #[derive(Copy, Eq)]
    #[serde(rename_all = "snake_case")]
    pub(crate) enum RequestKind {
        /// A completion as server-sent events.
        StreamedCompletion,
        /// A completion in one piece.
        WholeCompletion,
        /// The answer of a plain service, unchanged.
        Plain,
    }

    /// A caller's request as sent to a target.
    #[serde(deny_unknown_fields)]
    pub(crate) struct ForwardRequest {
        /// Request ID that the target echoes.
        pub(crate) id: RequestId,
        /// Expected kind of answer.
        pub(crate) kind: RequestKind,
        /// HTTP method.
        pub(crate) method: String,
        /// Path and query.
        pub(crate) path: String,
        /// Headers forwarded with the request.
        pub(crate) headers: Vec<(String, String)>,
        /// The body as received.
        pub(crate) body: Vec<u8>,
    }
}
