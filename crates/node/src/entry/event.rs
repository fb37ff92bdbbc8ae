use celeryhaven_derives::state;
use celeryhaven_policy::Ticket;
use celeryhaven_types::store::{StoreCallId, StoreReply};
use celeryhaven_types::{MemberReport, NodeName, RequestHead, VmEntry, VmName};

use crate::entry::{Attempt, AttemptEvent, PeerMessage};

state! {
    /// The request key that a caller presented.
    pub enum KeyUse {
        /// No key.
        None,
        /// The unparsed value of the `idempotency-key` header.
        Presented(String),
    }

    /// The outcome of polling one member.
    pub enum PollOutcome {
        /// The member answered.
        Reported(MemberReport),
        /// The member did not answer in time, or answered under another name.
        Failed,
    }

    /// An input to an entry node.
    pub enum EntryEvent {
        /// A timer may be due.
        Tick,
        /// A caller's request was read completely and authenticated.
        Arrived {
            /// Identifies the request; never reused within one boot.
            ticket: Ticket,
            /// The request head.
            head: RequestHead,
            /// The key presented with it.
            key: KeyUse,
            /// Whether another entry delegated it because this node issued its key.
            delegated: bool,
        },
        /// An attempt at a target made progress or completed.
        Attempt {
            /// The request.
            ticket: Ticket,
            /// The attempt.
            attempt: Attempt,
            /// The attempt event.
            event: AttemptEvent,
        },
        /// A delegated request completed, with or without an answer.
        DelegationCompleted {
            /// The request.
            ticket: Ticket,
            /// Whether the caller received the other entry's complete final answer.
            answered: bool,
        },
        /// The caller closed its connection.
        CallerDisconnected {
            /// The request.
            ticket: Ticket,
        },
        /// A poll of a member completed.
        Polled {
            /// The member.
            vm: VmName,
            /// Duration of the poll in milliseconds.
            took_ms: u64,
            /// The result.
            outcome: PollOutcome,
        },
        /// The platform's VM list was read.
        VmList {
            /// The complete list.
            entries: Vec<VmEntry>,
        },
        /// A message from another entry was received.
        Peer {
            /// The sender, as named by its certificate.
            from: NodeName,
            /// The message.
            message: PeerMessage,
        },
        /// A call to the Object API completed.
        Store {
            /// The call.
            call: StoreCallId,
            /// The result.
            reply: StoreReply,
        },
        /// The process was asked to stop: it completes active requests and rejects new ones once
        /// cached addresses have expired.
        Leave,
    }
}
