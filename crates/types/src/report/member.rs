use celeryhaven_derives::data;

use crate::names::{AdapterName, Boot, Fence, Generation, ModelVersion, ReplicaName, VmName};

data! {
    /// The formation that a member reports to be part of.
    #[derive(Eq)]
    #[serde(deny_unknown_fields)]
    pub struct Formation {
        /// The replica.
        pub replica: ReplicaName,
        /// Generation of the replica.
        pub generation: Generation,
        /// The loaded version.
        pub version: ModelVersion,
        /// Boot of every member in rank order, as received by this member when they joined.
        pub member_boots: Vec<Boot>,
        /// Whether the weights are loaded and every member has joined.
        pub ready: bool,
    }

    /// A member's answer to `GET /status`.
    #[serde(deny_unknown_fields)]
    pub struct MemberReport {
        /// The reporting VM.
        pub vm: VmName,
        /// Boot of the engine; a restarted engine has empty memory.
        pub boot: Boot,
        /// The formation that the member is part of, if any.
        pub formation: Option<Formation>,
        /// The highest fencing number that the member has received.
        pub fence: Fence,
        /// Number of running requests.
        pub running: u32,
        /// Number of requests queued in the engine.
        pub waiting: u32,
        /// Number of prompt tokens waiting for prefill.
        pub prefill_tokens_queued: u64,
        /// KV cache usage, in thousandths.
        pub kv_used_permille: u32,
        /// Number of tokens generated since the engine started.
        pub tokens_generated: u64,
        /// Age of the load figures when the report was sent, in milliseconds.
        pub load_age_ms: u64,
        /// Adapters loaded in memory.
        pub adapters_loaded: Vec<AdapterName>,
        /// Size of the weights loaded so far, in bytes.
        pub weights_loaded_bytes: u64,
    }
}
