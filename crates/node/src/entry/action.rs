use std::net::SocketAddr;

use celeryhaven_derives::state;
use celeryhaven_policy::Ticket;
use celeryhaven_types::store::{StoreCallId, StoreRequest};
use celeryhaven_types::{Generation, Incarnation, Refusal, ReplicaName, TimeMs, VmName};

use crate::entry::{Attempt, PeerMessage};

state! {
    /// What an entry node wants done.
    pub enum EntryAction {
        /// Send the request to a target.
        ///
        /// The driver reads the clock right before the first byte and reports
        /// [`AttemptEvent::Expired`](super::AttemptEvent::Expired) instead if `send_before` has
        /// passed: the process may have been paused since the decision.
        Dispatch {
            /// Which request.
            ticket: Ticket,
            /// Which attempt this is.
            attempt: Attempt,
            /// Where the target answers.
            address: SocketAddr,
            /// The replica and generation it is meant for; `None` for a plain service.
            replica: Option<(ReplicaName, Generation)>,
            /// When the first byte must have left.
            send_before: TimeMs,
            /// Tokens that the caller already has; not zero when a broken stream goes on elsewhere.
            resume_from: u32,
        },
        /// Close the attempt's connection and send the target a cancel order.
        CancelAttempt {
            /// Which request.
            ticket: Ticket,
            /// Which attempt.
            attempt: Attempt,
        },
        /// Give the caller this final answer now.
        Refuse {
            /// Which request.
            ticket: Ticket,
            /// The answer.
            refusal: Refusal,
        },
        /// Pass the request on to the entry whose incarnation issued its key, and stream its answer.
        PassOn {
            /// Which request.
            ticket: Ticket,
            /// The issuer.
            to: Incarnation,
            /// Where its peer link listens.
            address: SocketAddr,
        },
        /// Give the caller the answer that another ticket with the same key got.
        Replay {
            /// Which request.
            ticket: Ticket,
            /// The ticket whose kept answer it gets.
            of: Ticket,
        },
        /// Drop the kept answer of a keyed request.
        Forget {
            /// Which request.
            ticket: Ticket,
        },
        /// Ask a member for its status.
        Poll {
            /// Which member.
            vm: VmName,
            /// Where it answers.
            address: SocketAddr,
        },
        /// Read the platform's VM list.
        ReadVmList,
        /// Send a message to another entry; it may be lost.
        SendPeer {
            /// Where the receiver's peer link listens.
            address: SocketAddr,
            /// The message.
            message: PeerMessage,
        },
        /// Call the Object API.
        Store {
            /// Matches the reply.
            call: StoreCallId,
            /// The call.
            request: StoreRequest,
        },
        /// Nothing runs any more and no cached address answer points here: the process may exit.
        Left,
    }
}
