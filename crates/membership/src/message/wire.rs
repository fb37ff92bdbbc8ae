use celeryhaven_derives::{data, number};
use celeryhaven_types::NodeName;

use crate::member::MembershipUpdate;

number! {
    /// Matches an answer to a probe of the same sender.
    Probe(u64)
}

data! {
    /// A message between members; any may be lost.
    #[serde(rename_all = "snake_case")]
    pub enum Message {
        /// Asks for an [`Message::Ack`].
        Ping {
            /// Named in the answer.
            probe: Probe,
            /// The sender, so that a receiver that does not know it yet can answer.
            me: MembershipUpdate,
            /// What the sender passes on.
            rumours: Vec<MembershipUpdate>,
        },
        /// Answers a ping, or says that a node asked about has answered one.
        Ack {
            /// As in the ping.
            probe: Probe,
            /// What the sender passes on.
            rumours: Vec<MembershipUpdate>,
        },
        /// Asks the receiver to ping another node for the sender.
        PingFor {
            /// Named in the answer.
            probe: Probe,
            /// The node to ping.
            target: NodeName,
        },
        /// News that cannot wait for the next ping; not answered.
        Gossip {
            /// What the sender passes on.
            rumours: Vec<MembershipUpdate>,
        },
        /// A fresh node asks for everybody; answered by [`Message::Members`].
        Join {
            /// The fresh node.
            me: MembershipUpdate,
        },
        /// Everybody the sender knows, in parts that fit a message.
        Members {
            /// One part.
            rumours: Vec<MembershipUpdate>,
        },
    }
}

impl Message {
    /// The rumours it carries.
    pub fn updates(&self) -> &[MembershipUpdate] {
        match self {
            Self::Ping { rumours, .. }
            | Self::Ack { rumours, .. }
            | Self::Gossip { rumours }
            | Self::Members { rumours } => rumours,
            Self::Join { .. } | Self::PingFor { .. } => &[],
        }
    }

    /// What the sender says of itself, if it does.
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
