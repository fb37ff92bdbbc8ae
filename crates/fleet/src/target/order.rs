use celeryhaven_derives::state;
use celeryhaven_types::{Generation, ModelName, ReplicaName, VmName};

state! {
    /// An order to one target.
    pub enum TargetOrder {
        /// Become a member of a replica.
        Join {
            /// The replica; a name is never used for another list of members.
            replica: ReplicaName,
            /// Targets refuse one that is lower than they have seen.
            generation: Generation,
            /// The model to serve.
            model: ModelName,
            /// All members; the first is the head.
            members: Vec<VmName>,
        },
        /// The head begins to serve.
        Open {
            /// The replica.
            replica: ReplicaName,
            /// Its formation.
            generation: Generation,
        },
        /// The head stops to serve.
        Close {
            /// The replica.
            replica: ReplicaName,
            /// Its formation.
            generation: Generation,
            /// What becomes of its work.
            mode: CloseMode,
        },
        /// Leave the replica at once.
        Leave {
            /// The replica.
            replica: ReplicaName,
            /// Its formation.
            generation: Generation,
        },
        /// Load a model onto the host, beside all other work.
        Stage {
            /// The model.
            model: ModelName,
        },
    }

    /// What a head does with its work when it is closed.
    #[derive(Copy, Eq)]
    pub enum CloseMode {
        /// It finishes what it has.
        Finish,
        /// It breaks off what it has.
        Abort,
    }

    /// What became of an order.
    #[derive(Copy, Eq)]
    pub enum OrderOutcome {
        /// It has begun, is done, or held already.
        Accepted,
        /// It does not fit the target's state, or is older than what the target has seen.
        Refused,
        /// Another target has the address, or nothing listens there: the target is gone.
        TargetRemoved,
        /// No answer: it may have been accepted, or may be carried out later.
        Unanswered,
    }
}

impl TargetOrder {
    /// The word used in logs and metrics.
    pub const fn as_str(&self) -> &'static str {
        match self {
            Self::Join { .. } => "join",
            Self::Open { .. } => "open",
            Self::Close { .. } => "close",
            Self::Leave { .. } => "leave",
            Self::Stage { .. } => "stage",
        }
    }

    /// The replica that it is about.
    pub const fn replica(&self) -> Option<&ReplicaName> {
        match self {
            Self::Join { replica, .. }
            | Self::Open { replica, .. }
            | Self::Close { replica, .. }
            | Self::Leave { replica, .. } => Some(replica),
            Self::Stage { .. } => None,
        }
    }

    /// The model that the target is to serve or load.
    pub const fn model(&self) -> Option<&ModelName> {
        match self {
            Self::Join { model, .. } | Self::Stage { model } => Some(model),
            Self::Open { .. } | Self::Close { .. } | Self::Leave { .. } => None,
        }
    }
}

impl OrderOutcome {
    /// The word used in logs and metrics.
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Accepted => "accepted",
            Self::Refused => "refused",
            Self::TargetRemoved => "gone",
            Self::Unanswered => "unanswered",
        }
    }
}
