use celeryhaven_derives::state;
use celeryhaven_policy::Ticket;
use celeryhaven_types::store::{StoreCallId, StoreReply};
use celeryhaven_types::{MemberReport, NodeName, RequestHead, VmEntry, VmName};

use crate::entry::{Attempt, AttemptEvent, PeerMessage};

state! {
    /// The request key that a caller presented.
    pub enum KeyUse {
        /// None.
        None,
        /// The `idempotency-key` header as it came.
        Presented(String),
    }

    /// What became of a poll of one member.
    pub enum PollOutcome {
        /// It answered.
        Reported(MemberReport),
        /// It did not answer in time, or not as itself.
        Failed,
    }

    /// What an entry node hears.
    pub enum EntryEvent {
        /// Time has passed.
        Tick,
        /// A caller's request was read whole and authenticated.
        Arrived {
            /// Names it from now on; never used twice in one boot.
            ticket: Ticket,
            /// What is known of it.
            head: RequestHead,
            /// The key it came with.
            key: KeyUse,
            /// Whether another entry passed it on because this node issued its key.
            passed_on: bool,
        },
        /// Something happened to an attempt at a target.
        Attempt {
            /// Which request.
            ticket: Ticket,
            /// Which of its attempts.
            attempt: Attempt,
            /// What.
            event: AttemptEvent,
        },
        /// A request passed on to another entry came back with an answer, or did not.
        PassedOn {
            /// Which request.
            ticket: Ticket,
            /// Whether the other entry's final answer reached the caller whole.
            answered: bool,
        },
        /// The caller closed its connection.
        CallerGone {
            /// Which request.
            ticket: Ticket,
        },
        /// A poll of a member ended.
        Polled {
            /// Which member.
            vm: VmName,
            /// How long it took, in milliseconds.
            took_ms: u64,
            /// How.
            outcome: PollOutcome,
        },
        /// The platform's VM list was read.
        VmList {
            /// All of it.
            entries: Vec<VmEntry>,
        },
        /// A message of another entry came in.
        Peer {
            /// The sender, by its certificate.
            from: NodeName,
            /// The message.
            message: PeerMessage,
        },
        /// A call to the Object API ended.
        Store {
            /// Which call.
            call: StoreCallId,
            /// How.
            reply: StoreReply,
        },
        /// The process was asked to stop: finish what runs, take nothing new once addresses lapse.
        Leave,
    }
}
