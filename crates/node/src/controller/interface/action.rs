use std::net::SocketAddr;

use celeryhaven_derives::state;
use celeryhaven_types::store::{StoreCallId, StoreRequest};
use celeryhaven_types::{OperatorReply, Order, TimeMs, VmName};

use crate::controller::interface::OperatorTicket;

state! {
    /// What a controller wants done.
    pub enum ControllerAction {
        /// Call the Object API.
        Store {
            /// Matches the reply.
            call: StoreCallId,
            /// The call.
            request: StoreRequest,
        },
        /// Read the platform's VM list.
        ReadVmList,
        /// Ask a member for its status.
        Poll {
            /// Which member.
            vm: VmName,
            /// Where it answers.
            address: SocketAddr,
        },
        /// Send an order to a member.
        ///
        /// The driver reads the clock right before the first byte and reports
        /// [`OrderOutcome::NotSent`](super::OrderOutcome::NotSent) instead if `send_before` has
        /// passed: the process may have been paused since the decision.
        Order {
            /// Which member.
            vm: VmName,
            /// Where it answers.
            address: SocketAddr,
            /// The order.
            order: Order,
            /// When the first byte must have left.
            send_before: TimeMs,
        },
        /// Answer an operator.
        Answer {
            /// Which request.
            ticket: OperatorTicket,
            /// The answer.
            reply: OperatorReply,
        },
        /// Nothing is held any more: the process may exit.
        Left,
    }
}
