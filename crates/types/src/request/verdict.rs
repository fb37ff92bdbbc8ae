use celeryhaven_derives::data;

data! {
    /// Whether a request may have run.
    ///
    /// [`Verdict::NotRun`] requires that no byte was sent to a target, or that the target sent a
    /// refusal which its protocol defines as not run. Any other failure after the first byte is
    /// [`Verdict::MayHaveRun`].
    #[derive(Copy, Eq, Hash)]
    #[serde(rename_all = "snake_case")]
    pub enum Verdict {
        /// The caller received the complete answer to its request.
        Answered,
        /// No target has run the request, and none will.
        NotRun,
        /// A target may have run the request or may still run it.
        MayHaveRun,
    }
}

impl Verdict {
    /// Returns the name used in headers, logs and metrics.
    ///
    /// ```
    /// assert_eq!(celeryhaven_types::Verdict::NotRun.as_str(), "not_run");
    /// ```
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Answered => "answered",
            Self::NotRun => "not_run",
            Self::MayHaveRun => "may_have_run",
        }
    }
}
