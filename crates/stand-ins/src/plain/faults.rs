use celeryhaven_derives::data;

data! {
    /// Faults of a plain service, set by `POST /faults`. Omitted fields are off.
    #[derive(Copy, Default, Eq)]
    #[serde(default, deny_unknown_fields)]
    pub struct PlainFaults {
        /// The number of upcoming calls that run without an answer.
        pub lose_answer_after_run: u32,
        /// The number of upcoming calls whose connection is closed before they run.
        pub reset_before_run: u32,
        /// The number of upcoming calls that are rejected as not run.
        pub refuse_not_run: u32,
        /// The number of upcoming answers that carry the ID of another request.
        pub cross_answers: u32,
        /// The duration of each call, in milliseconds.
        pub slow_ms: u64,
    }
}
