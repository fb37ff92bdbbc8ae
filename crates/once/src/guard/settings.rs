use celeryhaven_derives::state;

use crate::ledger::LedgerLimits;

state! {
    /// Settings of the guard of one process.
    #[derive(Copy, Eq)]
    pub struct OnceSettings {
        /// Maximum number of unexpired issued keys.
        pub keys_max: u64,
        /// Lifetime of an issued key, in milliseconds.
        pub key_life_ms: u64,
        /// Maximum number of claims that this process creates per second.
        pub claims_per_s: u32,
        /// Maximum number of recorded claims.
        pub claims_max: usize,
        /// Lifetime of a claim from its first use, in milliseconds; a later retry runs as a new
        /// request.
        ///
        /// Must exceed the longest run time of a request.
        pub claim_life_ms: u64,
        /// Interval between lists of the orphan sweep, in milliseconds; each list covers one shard.
        pub sweep_interval_ms: u64,
        /// Maximum time that a request waits for its claim, in milliseconds.
        pub claim_wait_ms: u64,
        /// Limits of the ledger.
        pub ledger: LedgerLimits,
    }
}

impl Default for OnceSettings {
    /// Returns the default settings, with at most 20 claims per second and process.
    fn default() -> Self {
        Self {
            keys_max: 32_768,
            key_life_ms: 600_000,
            claims_per_s: 20,
            claims_max: 32_768,
            claim_life_ms: 3_600_000,
            sweep_interval_ms: 10_000,
            claim_wait_ms: 2_000,
            ledger: LedgerLimits::default(),
        }
    }
}
