use celeryhaven_derives::{data, number};
use celeryhaven_types::store::{ObjectChange, ObjectKey, ObjectVersion};

number! {
    /// Correlates a [`SpreadMessage::Tell`] with the query that it answers.
    QueryId(u64)
}

data! {
    /// Digest of the objects that a node holds.
    #[derive(Copy, Eq)]
    #[serde(deny_unknown_fields)]
    pub struct Summary {
        /// Equal for nodes that hold the same versions of all objects.
        pub fingerprint: u64,
        /// Version of the confirmed object; zero if the node holds none.
        pub vouched: ObjectVersion,
        /// Age of the last confirmation by the Object API, in milliseconds.
        pub proof_age_ms: Option<u64>,
    }

    /// A message between nodes; delivery is not guaranteed.
    #[serde(rename_all = "snake_case")]
    pub enum SpreadMessage {
        /// Queries the receiver for its summary.
        Ask {
            /// Number of the query, repeated in the answer.
            ask: QueryId,
            /// Version of the confirmed object that the sender holds; zero if none.
            vouched: ObjectVersion,
        },
        /// Answers a query with the sender's summary.
        Tell {
            /// Number of the query.
            ask: QueryId,
            /// The sender's summary.
            summary: Summary,
        },
        /// Announces a new version of an object.
        Announce {
            /// The object.
            key: ObjectKey,
            /// The new version.
            version: ObjectVersion,
        },
        /// Requests objects.
        Want {
            /// The requested objects.
            keys: Vec<ObjectKey>,
        },
        /// Sends objects.
        Objects {
            /// Each object at the newest version that the sender holds.
            changes: Vec<ObjectChange>,
        },
        /// Lists all versions that the sender holds, so that the receiver can send newer objects
        /// and request those that it lacks.
        Versions {
            /// Version of each object, in key order.
            held: Vec<(ObjectKey, ObjectVersion)>,
        },
    }
}
