use celeryhaven_derives::state;

state! {
    /// How a request completed, as seen by its caller.
    #[derive(Copy, Eq)]
    pub enum Outcome {
        /// The complete answer to this request.
        Whole,
        /// A complete answer that belongs to another request.
        Foreign,
        /// An interrupted answer, or a stream without an end marker.
        Broken,
        /// A rejection with a status and a verdict.
        Refused,
        /// No answer, because the connection was refused.
        Unreachable,
    }

    /// The answer to a request, as received by its caller.
    pub struct Reply {
        /// How the request completed.
        pub outcome: Outcome,
        /// The HTTP status, or zero if none was received.
        pub status: u16,
        /// The `x-verdict` header, or the verdict of the error event that terminated a stream.
        pub verdict: Option<String>,
        /// The error code.
        pub code: Option<String>,
        /// The `x-request-id` header.
        pub request_id: Option<String>,
        /// The generated text, or the body of any other answer.
        pub text: String,
        /// When the request was sent, in microseconds since the Unix epoch.
        pub asked_unix_us: u64,
        /// Time to the first token, in microseconds, or zero if there was none.
        pub first_token_us: u64,
        /// Total time, in microseconds.
        pub total_us: u64,
    }
}

impl Reply {
    pub(crate) fn without_response(outcome: Outcome) -> Self {
        Self {
            outcome,
            status: 0,
            verdict: None,
            code: None,
            request_id: None,
            text: String::new(),
            asked_unix_us: 0,
            first_token_us: 0,
            total_us: 0,
        }
    }

    /// Whether the complete answer to this request was received.
    pub fn whole(&self) -> bool {
        self.outcome == Outcome::Whole
    }

    /// Whether the answer guarantees that the request was not run and will not be.
    pub fn not_run(&self) -> bool {
        self.outcome == Outcome::Refused && self.verdict.as_deref() == Some("not_run")
    }
}
