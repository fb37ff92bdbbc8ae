use celeryhaven_derives::{number, state};
use celeryhaven_types::store::{StoreCallId, StoreReply};
use celeryhaven_types::{Fence, OperatorName, OperatorRequest, VmEntry, VmName};

use crate::entry::PollOutcome;

number! {
    /// Names one request of an operator, inside one process.
    OperatorTicket(u64)
}

state! {
    /// What became of an order.
    #[derive(Copy, Eq)]
    pub enum OrderOutcome {
        /// The member took it.
        Accepted,
        /// The member has seen a higher fencing number.
        OldFence {
            /// The number it has seen.
            seen: Fence,
        },
        /// It did not leave: its time had passed when the driver looked.
        NotSent,
        /// No answer; the member may have taken it.
        Unknown,
    }

    /// What a controller hears.
    pub enum ControllerEvent {
        /// Time has passed.
        Tick,
        /// A call to the Object API ended.
        Store {
            /// Which call.
            call: StoreCallId,
            /// How.
            reply: StoreReply,
        },
        /// The platform's VM list was read.
        VmList {
            /// All of it.
            entries: Vec<VmEntry>,
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
        /// An order to a member ended.
        Ordered {
            /// Which member.
            vm: VmName,
            /// Which order.
            order_id: u64,
            /// How.
            outcome: OrderOutcome,
        },
        /// An operator asks for something.
        ///
        /// The driver has refused an intent that contradicts itself.
        Operator {
            /// Names it from now on.
            ticket: OperatorTicket,
            /// Who asks, by certificate.
            operator: OperatorName,
            /// What.
            request: OperatorRequest,
            /// Wall clock, in milliseconds since the Unix epoch; for the audit record.
            at_unix_ms: u64,
        },
        /// The process was asked to stop: give up what is held.
        Leave,
    }
}
