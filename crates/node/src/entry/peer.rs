use celeryhaven_derives::data;
use celeryhaven_membership::Message;
use celeryhaven_spread::SpreadMessage;
use celeryhaven_types::{Boot, Generation, ReplicaName};

data! {
    /// A message between entries.
    #[serde(rename_all = "snake_case")]
    pub enum PeerMessage {
        /// Membership protocol.
        Membership(Message),
        /// Distribution of configuration and placements.
        Spread(SpreadMessage),
        /// An observer's state of one replica.
        Observed {
            /// The replica.
            replica: ReplicaName,
            /// Its generation.
            generation: Generation,
            /// The boots that all members agree on; empty when the replica is not whole.
            boots: Vec<Boot>,
            /// Age of the oldest member report used, in milliseconds.
            age_ms: u64,
            /// Requests running at rank 0.
            running: u32,
            /// Requests waiting at rank 0.
            waiting: u32,
            /// Prompt tokens still to be prefilled at rank 0.
            prefill_tokens_queued: u64,
            /// KV cache utilisation, in thousandths.
            kv_used_permille: u32,
            /// Tokens generated since the engine of rank 0 started.
            tokens_generated: u64,
        },
        /// Requests the observations of an observer.
        Observe {
            /// The sender's clock, returned in the answer.
            asked: u64,
        },
        /// Answers [`PeerMessage::Observe`].
        Observations {
            /// The clock value of the query.
            asked: u64,
            /// Every replica observed by the sender.
            replicas: Vec<ReplicaObservation>,
        },
    }

    /// The state of one replica as reported by its observer.
    #[serde(deny_unknown_fields)]
    pub struct ReplicaObservation {
        /// The replica.
        pub replica: ReplicaName,
        /// Its generation.
        pub generation: Generation,
        /// Whether current reports of all members agree.
        pub whole: bool,
        /// Age of the oldest member report used, in milliseconds.
        pub age_ms: u64,
        /// Last known load of rank 0; `None` before its first report.
        pub load: Option<ObservedLoad>,
    }

    /// Load of rank 0 of a replica.
    #[derive(Copy, Eq)]
    #[serde(deny_unknown_fields)]
    pub struct ObservedLoad {
        /// Age of the values when they were sent, in milliseconds.
        pub age_ms: u64,
        /// Running requests.
        pub running: u32,
        /// Waiting requests.
        pub waiting: u32,
        /// Prompt tokens still to be prefilled.
        pub prefill_tokens_queued: u64,
        /// KV cache utilisation, in thousandths.
        pub kv_used_permille: u32,
        /// Tokens generated since its engine started.
        pub tokens_generated: u64,
    }
}
