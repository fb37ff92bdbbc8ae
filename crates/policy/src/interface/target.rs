use celeryhaven_derives::state;
use celeryhaven_types::{AdapterName, RequestClass};
use xxhash_rust::xxh3::xxh3_64;

state! {
    /// The static properties of a target.
    pub struct TargetProfile {
        /// Requests that it serves; the adapter of a completion class is always `None` here.
        pub serves: RequestClass,
        /// Number of requests that it runs concurrently.
        pub slots: u32,
        /// One-way network delay from this node, in microseconds.
        pub distance_us: u32,
        /// Identifies the target at every node.
        pub identity: u64,
    }

    /// A load report of a target.
    pub struct TargetLoad {
        /// Age of the report when this node received it, in milliseconds.
        pub age_ms: u64,
        /// Requests that run at the target, from all nodes.
        pub running: u32,
        /// Requests queued inside the target, from all nodes.
        pub waiting: u32,
        /// Prompt tokens that still have to be prefilled.
        pub prefill_tokens_queued: u64,
        /// KV cache in use, in thousandths.
        pub kv_used_permille: u32,
        /// Tokens generated since the engine of the target started.
        pub tokens_generated: u64,
        /// Adapters loaded in memory.
        pub adapters_loaded: Vec<AdapterName>,
    }
}

impl TargetProfile {
    /// Returns the identity of a target with this name.
    pub fn identity_of(name: &str) -> u64 {
        xxh3_64(name.as_bytes())
    }
}
