use celeryhaven_derives::state;

state! {
    /// Why a request gets no further attempt.
    #[derive(Copy, Eq)]
    pub enum RetryDenial {
        /// It may have run, and must not run twice.
        MayHaveRun,
        /// Its answer would come after the deadline.
        TooLate,
        /// It has had all attempts that its route allows.
        NoAttemptLeft,
        /// No other target can accept it now.
        NoFreeTarget,
        /// The retry budget is used up.
        NoRetryLeft,
    }
}

impl RetryDenial {
    /// Returns the name used in logs.
    ///
    /// ```
    /// assert_eq!(celeryhaven_policy::RetryDenial::TooLate.as_str(), "too late");
    /// ```
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::MayHaveRun => "may have run",
            Self::TooLate => "too late",
            Self::NoAttemptLeft => "no attempt left",
            Self::NoFreeTarget => "no free target",
            Self::NoRetryLeft => "no retry left",
        }
    }
}
