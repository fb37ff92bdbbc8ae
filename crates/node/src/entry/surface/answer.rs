use std::net::SocketAddr;

use celeryhaven_derives::data;
use celeryhaven_types::ConfigNumber;

data! {
    /// Request keys issued by one node; the body of `POST /v1/keys`.
    #[serde(deny_unknown_fields)]
    pub struct KeyAnswer {
        /// The keys; fewer than requested when a limit is reached.
        pub keys: Vec<String>,
        /// Lifetime of each key from now, in milliseconds.
        pub ttl_ms: u64,
    }

    /// Entries that a caller should use; the body of `GET /v1/address`.
    #[serde(deny_unknown_fields)]
    pub struct AddressAnswer {
        /// Caller addresses of entries, best first.
        pub addresses: Vec<SocketAddr>,
        /// How long the caller may cache the answer, in milliseconds.
        pub ttl_ms: u64,
        /// Number of the configuration in force at the answering node; 0 if it has none.
        pub config_number: ConfigNumber,
    }
}
