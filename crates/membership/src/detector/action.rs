use std::net::SocketAddr;

use celeryhaven_derives::state;
use celeryhaven_types::Incarnation;

use crate::member::{Member, MemberState};
use crate::message::Message;

state! {
    /// An action for the driver to execute, or a change that was detected.
    pub enum MembershipAction {
        /// Send a message; delivery is not guaranteed.
        Send {
            /// Address of the receiver's peer link.
            to: SocketAddr,
            /// The message.
            message: Message,
        },
        /// The state or description of a member has changed.
        Changed {
            /// The member.
            member: Member,
            /// Its state after the change.
            state: MemberState,
        },
        /// A later boot of this node is a member: this process has been replaced and must stop
        /// serving.
        Superseded {
            /// The later boot.
            by: Incarnation,
        },
    }
}
