use celeryhaven_derives::data;

data! {
    /// Faults of the Object API, set by `POST /faults`. Omitted fields are off.
    #[derive(Copy, Default, Eq)]
    #[serde(default, deny_unknown_fields)]
    pub struct ObjectApiFaults {
        /// Closes the connection of every call, including waiting watches.
        pub outage: bool,
        /// A delay added to every answer, in milliseconds.
        pub delay_ms: u64,
        /// The number of upcoming writes that are applied without an answer.
        pub lose_answer_after_write: u32,
        /// Serves reads from a snapshot taken when the fault was set.
        pub stale_reads: bool,
    }
}
