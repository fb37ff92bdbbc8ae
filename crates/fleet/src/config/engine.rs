use celeryhaven_derives::state;
use celeryhaven_types::ModelName;

state! {
    /// What the operators know of a service's engines.
    pub struct EngineProfile {
        /// Requests that a replica runs side by side.
        pub slots: u32,
        /// Time of one decode step of an empty batch, in milliseconds.
        pub step_ms: f64,
        /// Added to a step by each request in the batch, in milliseconds.
        pub step_ms_per_request: f64,
        /// Prompt tokens that a replica prefills in a millisecond.
        pub prefill_tokens_per_ms: f64,
        /// Tokens that one event of a stream holds.
        pub tokens_per_event: u32,
        /// Loads that may start in a second, over all targets.
        pub loads_per_s: f64,
        /// Loads that run side by side at full speed, over all targets; more share that speed.
        pub concurrent_loads: f64,
        /// The models that its targets can serve.
        pub models: Vec<ModelProfile>,
    }

    /// One model and what its replicas need.
    pub struct ModelProfile {
        /// Its name.
        pub name: ModelName,
        /// Targets that form one replica.
        pub size: usize,
        /// Part of the service's work expected for it, from 0 to 1.
        pub share: f64,
        /// Factor on all times of its replicas; under 1 is faster.
        pub time_factor: f64,
        /// Time to load it from the weights store, in milliseconds.
        pub load_ms: u64,
        /// Time to load it where it is staged on the host, in milliseconds.
        pub staged_load_ms: u64,
    }
}

impl EngineProfile {
    /// The model of this name.
    pub fn model(&self, name: &ModelName) -> Option<&ModelProfile> {
        self.models.iter().find(|model| model.name == *name)
    }

    /// Time of one token of one request in a batch this full, in milliseconds.
    pub fn token_ms(&self, model: &ModelProfile, batch: f64) -> f64 {
        (self.step_ms + self.step_ms_per_request * batch) * model.time_factor
    }
}
