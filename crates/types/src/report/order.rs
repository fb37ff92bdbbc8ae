use std::net::SocketAddr;

use celeryhaven_derives::data;

use crate::names::{
    AdapterName, Boot, DomainName, Fence, Generation, ModelName, ModelVersion, ReplicaName,
};

data! {
    /// An order to a member, sent to `POST /orders`.
    #[serde(deny_unknown_fields)]
    pub struct Order {
        /// The fabric domain whose lease the fencing number belongs to.
        pub domain: DomainName,
        /// Fencing number of the lease holder; engines that check it refuse a number lower than the
        /// highest they have received.
        pub fence: Fence,
        /// Identifier of the order; an engine executes each order once.
        pub order_id: u64,
        /// What to do.
        pub kind: OrderKind,
    }

    /// The operation that an order requests.
    #[serde(rename_all = "snake_case")]
    pub enum OrderKind {
        /// Loads weights and joins a formation, leaving any other formation.
        Join {
            /// The replica.
            replica: ReplicaName,
            /// Generation of the replica.
            generation: Generation,
            /// Rank of this member.
            rank: u32,
            /// Addresses of all members in rank order.
            members: Vec<SocketAddr>,
            /// The model.
            model: ModelName,
            /// The version to load.
            version: ModelVersion,
            /// Adapters to make available.
            adapters: Vec<AdapterName>,
            /// Size of the weights to load, in bytes.
            weights_bytes: u64,
        },
        /// Stops accepting requests and completes those running.
        Drain {
            /// The replica to drain.
            replica: ReplicaName,
        },
        /// Leaves the formation and frees its memory.
        Release {
            /// The replica to leave; a member of another one ignores the order.
            replica: ReplicaName,
            /// The boot for which the order is valid; a restarted engine ignores the order.
            boot: Option<Boot>,
        },
        /// Loads an adapter in addition to the weights.
        LoadAdapter {
            /// The adapter.
            adapter: AdapterName,
        },
    }
}
