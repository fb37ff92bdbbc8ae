use celeryhaven_derives::{data, number};
use celeryhaven_types::store::{ObjectChange, ObjectKey, ObjectVersion};

number! {
    /// Matches a [`SpreadMessage::Tell`] to the question of the same node.
    QueryId(u64)
}

data! {
    /// What a node holds, in a few bytes.
    #[derive(Copy, Eq)]
    #[serde(deny_unknown_fields)]
    pub struct Summary {
        /// Shared by nodes that hold the same versions of all objects.
        pub fingerprint: u64,
        /// Version of the vouched object; zero if the node holds none.
        pub vouched: ObjectVersion,
        /// Age of the proof that the Object API held that version, in milliseconds.
        pub proof_age_ms: Option<u64>,
    }

    /// A message between nodes; any may be lost.
    #[serde(rename_all = "snake_case")]
    pub enum SpreadMessage {
        /// Asks what the receiver holds.
        Ask {
            /// Named in the answer.
            ask: QueryId,
            /// Version of the vouched object that the sender holds; zero if none.
            vouched: ObjectVersion,
        },
        /// Says what the sender holds.
        Tell {
            /// As in the question.
            ask: QueryId,
            /// What it holds.
            summary: Summary,
        },
        /// Says that there is a new version.
        Announce {
            /// Of which object.
            key: ObjectKey,
            /// Which.
            version: ObjectVersion,
        },
        /// Asks for objects.
        Want {
            /// Which.
            keys: Vec<ObjectKey>,
        },
        /// Brings objects.
        Objects {
            /// Each at its newest version known to the sender.
            changes: Vec<ObjectChange>,
        },
        /// Lists every version held, so that the receiver can send what is newer and ask for what
        /// it lacks.
        Versions {
            /// By object.
            held: Vec<(ObjectKey, ObjectVersion)>,
        },
    }
}
