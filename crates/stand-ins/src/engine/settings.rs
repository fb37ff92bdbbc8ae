use std::net::SocketAddr;

/// Settings of an engine.
#[derive(Clone, Debug)]
pub struct EngineSettings {
    /// The maximum number of concurrently running requests.
    pub slots: usize,
    /// The maximum number of waiting requests. Further requests are not admitted.
    pub waiting_max: usize,
    /// Prefill time per prompt token, in microseconds.
    pub prefill_us_per_token: u64,
    /// The maximum number of prompt tokens prefilled in a step.
    pub prefill_tokens_per_step: u64,
    /// Base duration of a decoding step, in microseconds.
    pub decode_us: u64,
    /// Duration added to a step by each running request, in microseconds.
    pub decode_us_per_request: u64,
    /// The capacity of a replica's KV cache, in tokens.
    pub kv_tokens_max: u64,
    /// The capacity of the prefix cache, in blocks.
    pub cache_blocks_max: usize,
    /// The interval at which reported load figures are refreshed, in milliseconds.
    pub report_lag_ms: u64,
    /// The publication delay of cache events, in milliseconds.
    pub cache_event_lag_ms: u64,
    /// Drops one of this many cache events. Zero drops none.
    pub cache_event_gap_every: u64,
    /// Whether orders with a stale fencing number are rejected.
    pub checks_fences: bool,
    /// The address of the weights store. With `None`, weights load at once.
    pub weights: Option<SocketAddr>,
    /// The number of pieces in which weights are read.
    pub weights_pieces: u64,
    /// The interval at which members poll one another, in milliseconds.
    pub member_poll_ms: u64,
}

impl EngineSettings {
    /// Creates settings with fencing checks and without a weights store.
    pub fn new() -> Self {
        Self {
            slots: 8,
            waiting_max: 64,
            prefill_us_per_token: 20,
            prefill_tokens_per_step: 2_048,
            decode_us: 4_000,
            decode_us_per_request: 100,
            kv_tokens_max: 64_000,
            cache_blocks_max: 512,
            report_lag_ms: 200,
            cache_event_lag_ms: 300,
            cache_event_gap_every: 0,
            checks_fences: true,
            weights: None,
            weights_pieces: 10,
            member_poll_ms: 100,
        }
    }

    /// Sets the address of the weights store.
    pub fn with_weights(mut self, weights: SocketAddr) -> Self {
        self.weights = Some(weights);
        self
    }

    /// Disables the check of fencing numbers.
    pub fn with_fences_ignored(mut self) -> Self {
        self.checks_fences = false;
        self
    }

    /// Sets the maximum number of concurrently running requests.
    pub fn with_slots(mut self, slots: usize) -> Self {
        self.slots = slots;
        self
    }

    /// Sets the base duration of a decoding step, in microseconds.
    pub fn with_decode_us(mut self, decode_us: u64) -> Self {
        self.decode_us = decode_us;
        self
    }
}

impl Default for EngineSettings {
    fn default() -> Self {
        Self::new()
    }
}
