use celeryhaven_derives::state;

state! {
    /// Size and retention limits of a ledger.
    #[derive(Copy, Eq)]
    pub struct LedgerLimits {
        /// Maximum number of keys; a full ledger rejects new keys and evicts none.
        pub entries_max: usize,
        /// Maximum number of answers cached for retries; the oldest is dropped first.
        pub answers_max: usize,
        /// How long an answer is cached for retries, in milliseconds.
        pub answer_life_ms: u64,
    }
}

impl Default for LedgerLimits {
    /// Returns limits of 65,536 keys and 4,096 answers, with answers cached for two minutes.
    fn default() -> Self {
        Self { entries_max: 65_536, answers_max: 4_096, answer_life_ms: 120_000 }
    }
}
