use std::net::SocketAddr;

use celeryhaven_derives::state;
use celeryhaven_types::store::{StoreCallId, StoreRequest};
use celeryhaven_types::{OperatorReply, Order, TimeMs, VmName};

use crate::controller::interface::OperatorTicket;

state! {
    /// An action for the driver of a controller to execute.
    pub enum ControllerAction {
        /// Call the Object API.
        Store {
            /// Identifies the reply.
            call: StoreCallId,
            /// The request.
            request: StoreRequest,
        },
        /// Read the platform's VM list.
        ReadVmList,
        /// Request the status of a member.
        Poll {
            /// Name of the member's VM.
            vm: VmName,
            /// Address of the member.
            address: SocketAddr,
        },
        /// Send an order to a member.
        ///
        /// The driver reads the clock directly before sending the first byte and reports
        /// [`OrderOutcome::NotSent`](super::OrderOutcome::NotSent) if `send_before` has passed,
        /// because the process may have been paused since the decision.
        Order {
            /// Name of the member's VM.
            vm: VmName,
            /// Address of the member.
            address: SocketAddr,
            /// The order.
            order: Order,
            /// Deadline for sending the first byte.
            send_before: TimeMs,
        },
        /// Reply to an operator.
        Answer {
            /// The request.
            ticket: OperatorTicket,
            /// The reply.
            reply: OperatorReply,
        },
        /// All leases are released: the process may exit.
        Left,
    }
}
