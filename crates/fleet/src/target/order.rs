use celeryhaven_derives::state;
use celeryhaven_types::{Generation, ModelName, ReplicaName, VmName};

state! {
    /// An order to one target.
    pub enum TargetOrder {
        /// Become a member of a replica.
        Join {
            /// The replica; a name is never reused for a different list of members.
            replica: ReplicaName,
            /// The formation; targets refuse one lower than they have seen.
            generation: Generation,
            /// The model to serve.
            model: ModelName,
            /// All members; the first is the head.
            members: Vec<VmName>,
        },
        /// Start to serve, sent to the head.
        Open {
            /// The replica.
            replica: ReplicaName,
            /// The formation.
            generation: Generation,
        },
        /// Stop serving, sent to the head.
        Close {
            /// The replica.
            replica: ReplicaName,
            /// The formation.
            generation: Generation,
            /// How to handle requests in progress.
            mode: CloseMode,
        },
        /// Leave the replica at once.
        Leave {
            /// The replica.
            replica: ReplicaName,
            /// The formation.
            generation: Generation,
        },
        /// Load a model onto the host without affecting other work.
        Stage {
            /// The model.
            model: ModelName,
        },
    }

    /// How a head handles its requests when it is closed.
    #[derive(Copy, Eq)]
    pub enum CloseMode {
        /// Complete the requests.
        Finish,
        /// Abort the requests.
        Abort,
    }

    /// The outcome of an order.
    #[derive(Copy, Eq)]
    pub enum OrderOutcome {
        /// The target has carried out the order or has started to.
        Accepted,
        /// The target was in that state already, and has begun nothing.
        AlreadyHeld,
        /// The order does not fit the target's state, or its generation is older than one already
        /// seen.
        Refused,
        /// Another target has the address, or nothing listens there.
        TargetRemoved,
        /// No answer: the order may have been accepted, or may still be carried out.
        Unanswered,
    }
}

impl TargetOrder {
    /// Returns the name used in logs and metrics.
    pub const fn as_str(&self) -> &'static str {
        match self {
            Self::Join { .. } => "join",
            Self::Open { .. } => "open",
            Self::Close { .. } => "close",
            Self::Leave { .. } => "leave",
            Self::Stage { .. } => "stage",
        }
    }

    /// Returns the replica that the order names.
    pub const fn replica(&self) -> Option<&ReplicaName> {
        match self {
            Self::Join { replica, .. }
            | Self::Open { replica, .. }
            | Self::Close { replica, .. }
            | Self::Leave { replica, .. } => Some(replica),
            Self::Stage { .. } => None,
        }
    }

    /// Returns the model to serve or load.
    pub const fn model(&self) -> Option<&ModelName> {
        match self {
            Self::Join { model, .. } | Self::Stage { model } => Some(model),
            Self::Open { .. } | Self::Close { .. } | Self::Leave { .. } => None,
        }
    }
}

impl OrderOutcome {
    /// Returns the name used in logs and metrics.
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Accepted => "accepted",
            Self::AlreadyHeld => "already held",
            Self::Refused => "refused",
            Self::TargetRemoved => "gone",
            Self::Unanswered => "unanswered",
        }
    }
}
