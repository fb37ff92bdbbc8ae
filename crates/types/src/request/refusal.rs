use celeryhaven_derives::data;

use crate::request::Verdict;

data! {
    /// Reason code of a refusal, as sent to callers.
    #[derive(Copy, Eq, Hash)]
    #[serde(rename_all = "snake_case")]
    pub enum RefusalCode {
        /// The request body is malformed or not valid for the endpoint.
        BadRequest,
        /// The API key is missing or belongs to no organisation.
        Unauthenticated,
        /// The organisation is not allowed to use this model or service.
        Forbidden,
        /// No deployment serves this model.
        UnknownModel,
        /// No service has this name.
        UnknownService,
        /// The body is larger than the limit.
        BodyTooLarge,
        /// The caller did not send its request within the read timeout.
        SlowCaller,
        /// The request could not complete by its deadline.
        DeadlineUnreachable,
        /// The organisation's queue is full.
        Overloaded,
        /// No whole replica is reachable.
        NoReplica,
        /// This node is leaving, or its configuration could not be confirmed as current.
        NodeUnavailable,
        /// The request key was not issued by this system or has expired.
        UnknownKey,
        /// Another request with the same key is running.
        KeyInUse,
        /// The claim on a key chosen by the caller could not be stored in the Object API.
        ClaimUnavailable,
        /// The target's answer was interrupted or lost.
        AnswerLost,
        /// The incarnation that issued the key no longer exists.
        IssuerGone,
        /// The caller disconnected.
        CallerGone,
        /// Targets have ended each time they began to run this request.
        Quarantined,
    }
}

impl RefusalCode {
    /// Returns the HTTP status sent with the code.
    pub const fn http_status(self) -> u16 {
        match self {
            Self::BadRequest | Self::UnknownKey => 400,
            Self::Unauthenticated => 401,
            Self::Forbidden => 403,
            Self::UnknownModel | Self::UnknownService => 404,
            Self::SlowCaller => 408,
            Self::KeyInUse => 409,
            Self::BodyTooLarge => 413,
            Self::Overloaded => 429,
            Self::CallerGone => 499,
            Self::AnswerLost | Self::IssuerGone => 502,
            Self::DeadlineUnreachable
            | Self::NoReplica
            | Self::NodeUnavailable
            | Self::Quarantined
            | Self::ClaimUnavailable => 503,
        }
    }
}

data! {
    /// Final answer to a request that is not served.
    #[derive(Copy, Eq)]
    #[serde(deny_unknown_fields)]
    pub struct Refusal {
        /// The reason.
        pub code: RefusalCode,
        /// Whether the request may have run.
        pub verdict: Verdict,
        /// Delay before a retry; `None` if a retry cannot succeed.
        pub retry_after_ms: Option<u64>,
    }
}

impl Refusal {
    /// Creates a refusal of a request that no target has run.
    ///
    /// ```
    /// use celeryhaven_types::{Refusal, RefusalCode, Verdict};
    /// let refusal = Refusal::not_run(RefusalCode::Overloaded).with_retry_after_ms(700);
    /// assert_eq!(refusal.verdict, Verdict::NotRun);
    /// assert_eq!(refusal.retry_after_ms, Some(700));
    /// ```
    pub const fn not_run(code: RefusalCode) -> Self {
        Self { code, verdict: Verdict::NotRun, retry_after_ms: None }
    }

    /// Creates a refusal of a request that a target may have run.
    pub const fn may_have_run(code: RefusalCode) -> Self {
        Self { code, verdict: Verdict::MayHaveRun, retry_after_ms: None }
    }

    /// Sets the delay after which the caller may retry.
    pub const fn with_retry_after_ms(mut self, retry_after_ms: u64) -> Self {
        self.retry_after_ms = Some(retry_after_ms);
        self
    }
}
