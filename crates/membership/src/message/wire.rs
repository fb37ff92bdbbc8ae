use celeryhaven_derives::{data, number};
use celeryhaven_types::NodeName;

use crate::member::MembershipUpdate;

number! {
    /// Correlates an answer with a probe of the same sender.
    Probe(u64)
}

data! {
    /// A message between members; delivery is not guaranteed.
    #[serde(rename_all = "snake_case")]
    pub enum Message {
        /// Requests an [`Message::Ack`].
        Ping {
            /// Number of the probe, repeated in the answer.
            probe: Probe,
            /// The sender's own update, so that a receiver that does not know it can answer.
            me: MembershipUpdate,
            /// Updates that the sender forwards.
            rumours: Vec<MembershipUpdate>,
        },
        /// Answers a ping, or a [`Message::PingFor`] whose target has answered.
        Ack {
            /// Number of the probe.
            probe: Probe,
            /// Updates that the sender forwards.
            rumours: Vec<MembershipUpdate>,
        },
        /// Requests that the receiver ping another node for the sender.
        PingFor {
            /// Number of the probe, repeated in the answer.
            probe: Probe,
            /// The node to ping.
            target: NodeName,
        },
        /// Updates that are sent without a probe; not answered.
        Gossip {
            /// Updates that the sender forwards.
            rumours: Vec<MembershipUpdate>,
        },
        /// Requests all members for a new node; answered by [`Message::Members`].
        Join {
            /// The new node.
            me: MembershipUpdate,
        },
        /// All members that the sender knows, split over several messages.
        Members {
            /// The updates in this message.
            rumours: Vec<MembershipUpdate>,
        },
    }
}

impl Message {
    /// Returns the updates that the message forwards.
    pub fn updates(&self) -> &[MembershipUpdate] {
        match self {
            Self::Ping { rumours, .. }
            | Self::Ack { rumours, .. }
            | Self::Gossip { rumours }
            | Self::Members { rumours } => rumours,
            Self::Join { .. } | Self::PingFor { .. } => &[],
        }
    }

    /// Returns the sender's own update, if the message has one.
    pub fn sender(&self) -> Option<&MembershipUpdate> {
        match self {
            Self::Ping { me, .. } | Self::Join { me } => Some(me),
            Self::Ack { .. }
            | Self::PingFor { .. }
            | Self::Gossip { .. }
            | Self::Members { .. } => None,
        }
    }
}
