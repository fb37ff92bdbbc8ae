use std::net::SocketAddr;

use celeryhaven_derives::state;
use celeryhaven_policy::Ticket;
use celeryhaven_types::store::{StoreCallId, StoreRequest};
use celeryhaven_types::{Generation, Incarnation, Refusal, ReplicaName, TimeMs, VmName};

use crate::entry::{Attempt, PeerMessage};

state! {
    /// An action that an entry node requests from its driver.
    pub enum EntryAction {
        /// Sends the request to a target.
        ///
        /// The driver reads the clock immediately before the first byte and reports
        /// [`AttemptEvent::Expired`](super::AttemptEvent::Expired) instead if `send_before` has
        /// passed, because the process may have been paused since the decision.
        Dispatch {
            /// The request.
            ticket: Ticket,
            /// The attempt.
            attempt: Attempt,
            /// Address of the target.
            address: SocketAddr,
            /// The replica and generation that must serve it; `None` for a plain service.
            replica: Option<(ReplicaName, Generation)>,
            /// Latest time at which the first byte may leave.
            send_before: TimeMs,
            /// Tokens already delivered to the caller; above zero when a failed stream is resumed.
            resume_from: u32,
        },
        /// Closes the attempt's connection and sends the target a cancel order.
        CancelAttempt {
            /// The request.
            ticket: Ticket,
            /// The attempt.
            attempt: Attempt,
        },
        /// Sends the caller this final refusal.
        Refuse {
            /// The request.
            ticket: Ticket,
            /// The refusal.
            refusal: Refusal,
        },
        /// Delegates the request to the entry whose incarnation issued its key, and streams its
        /// answer.
        Delegate {
            /// The request.
            ticket: Ticket,
            /// The incarnation that issued the key.
            to: Incarnation,
            /// Its peer address.
            address: SocketAddr,
        },
        /// Sends the caller the cached answer of another ticket with the same key.
        Replay {
            /// The request.
            ticket: Ticket,
            /// The ticket whose cached answer is sent.
            of: Ticket,
        },
        /// Drops the cached answer of a keyed request.
        Forget {
            /// The request.
            ticket: Ticket,
        },
        /// Requests the status of a member.
        Poll {
            /// The member.
            vm: VmName,
            /// Its address.
            address: SocketAddr,
        },
        /// Reads the platform's VM list.
        ReadVmList,
        /// Sends a message to another entry; it may be lost.
        SendPeer {
            /// Peer address of the receiver.
            address: SocketAddr,
            /// The message.
            message: PeerMessage,
        },
        /// Calls the Object API.
        Store {
            /// Identifies the call in the reply.
            call: StoreCallId,
            /// The call.
            request: StoreRequest,
        },
        /// The process may exit: no request is active and no cached address answer names this node.
        Left,
    }
}
