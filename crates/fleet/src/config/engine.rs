use celeryhaven_derives::state;
use celeryhaven_types::ModelName;

state! {
    /// The performance profile of a service's engines.
    pub struct EngineProfile {
        /// Maximum number of concurrent requests per replica.
        pub slots: u32,
        /// Duration of a decode step with an empty batch, in milliseconds.
        pub step_ms: f64,
        /// Additional step duration for each request in the batch, in milliseconds.
        pub step_ms_per_request: f64,
        /// Prefill throughput of a replica, in prompt tokens per millisecond.
        pub prefill_tokens_per_ms: f64,
        /// Tokens in one event of a stream.
        pub tokens_per_event: u32,
        /// Maximum rate at which loads may start over all targets, per second.
        pub loads_per_s: f64,
        /// Concurrent loads at full speed over all targets; more share the same bandwidth.
        pub concurrent_loads: f64,
        /// The models that the targets can serve.
        pub models: Vec<ModelProfile>,
    }

    /// A model and the requirements of its replicas.
    pub struct ModelProfile {
        /// The model name.
        pub name: ModelName,
        /// Number of targets in one replica.
        pub size: usize,
        /// Expected share of the service's load, from 0 to 1.
        pub share: f64,
        /// Factor on all times of its replicas; below 1 is faster.
        pub time_factor: f64,
        /// Time to load the model from the weights store, in milliseconds.
        pub load_ms: u64,
        /// Time to load the model when it is staged on the host, in milliseconds.
        pub staged_load_ms: u64,
    }
}

impl EngineProfile {
    /// Returns the model with this name.
    pub fn model(&self, name: &ModelName) -> Option<&ModelProfile> {
        self.models.iter().find(|model| model.name == *name)
    }

    /// Returns the time per token of one request at this batch size, in milliseconds.
    pub fn token_ms(&self, model: &ModelProfile, batch_size: f64) -> f64 {
        (self.step_ms + self.step_ms_per_request * batch_size) * model.time_factor
    }
}
