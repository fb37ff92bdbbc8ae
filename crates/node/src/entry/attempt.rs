use celeryhaven_derives::{number, state};

number! {
    /// Number of an attempt of one request, from 1.
    Attempt(u32)
}

state! {
    /// The progress of one attempt at a target, in order of occurrence.
    pub enum AttemptEvent {
        /// The first byte is about to be sent; from here on the request may have run.
        Sent,
        /// The connection could not be opened; no byte was sent.
        ConnectFailed,
        /// `send_before` had passed immediately before sending; no byte was sent.
        Expired,
        /// The target refused in a way that its protocol defines as not run.
        Refused,
        /// The response head arrived with the request id that was sent.
        Started,
        /// Tokens were delivered to the caller since the previous event.
        Progress {
            /// Number of tokens.
            tokens: u32,
        },
        /// The caller received the whole answer, including its end mark.
        Finished,
        /// The attempt failed after the first byte: reset, timeout, foreign request id, or no end
        /// mark.
        Failed,
    }
}
