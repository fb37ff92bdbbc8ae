use celeryhaven_derives::{number, state};
use celeryhaven_types::store::{StoreCallId, StoreReply};
use celeryhaven_types::{Fence, OperatorName, OperatorRequest, VmEntry, VmName};

use crate::entry::PollOutcome;

number! {
    /// Identifies one operator request within a process.
    OperatorTicket(u64)
}

state! {
    /// Outcome of an order.
    #[derive(Copy, Eq)]
    pub enum OrderOutcome {
        /// The member accepted the order.
        Accepted,
        /// The member has seen a higher fencing number.
        OldFence {
            /// The highest fencing number that the member has seen.
            seen: Fence,
        },
        /// The order was not sent: its deadline had passed.
        NotSent,
        /// No reply was received; the member may have accepted the order.
        Unknown,
    }

    /// An event for a controller to process.
    pub enum ControllerEvent {
        /// Timers are due.
        Tick,
        /// A call of the Object API completed.
        Store {
            /// The call.
            call: StoreCallId,
            /// Its result.
            reply: StoreReply,
        },
        /// The platform's VM list was read.
        VmList {
            /// All VMs of the list.
            entries: Vec<VmEntry>,
        },
        /// A poll of a member completed.
        Polled {
            /// Name of the member's VM.
            vm: VmName,
            /// Duration of the poll, in milliseconds.
            took_ms: u64,
            /// Its result.
            outcome: PollOutcome,
        },
        /// An order to a member completed.
        Ordered {
            /// Name of the member's VM.
            vm: VmName,
            /// Identity of the order.
            order_id: u64,
            /// Its result.
            outcome: OrderOutcome,
        },
        /// An operator sent a request.
        ///
        /// The driver has already rejected an inconsistent intent.
        Operator {
            /// Identifies the request.
            ticket: OperatorTicket,
            /// The operator, as named by the certificate.
            operator: OperatorName,
            /// The request.
            request: OperatorRequest,
            /// Wall clock, in milliseconds since the Unix epoch; for the audit record.
            at_unix_ms: u64,
        },
        /// The process is to stop: release all leases.
        Leave,
    }
}
