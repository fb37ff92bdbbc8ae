use celeryhaven_derives::state;
use celeryhaven_types::Refusal;

use crate::interface::{RetryDenial, TargetKey, Ticket};

state! {
    /// An action that a policy requests from its driver.
    pub enum Decision {
        /// Sends the request to a target.
        Dispatch {
            /// The request to send.
            ticket: Ticket,
            /// The target to send it to.
            target: TargetKey,
        },
        /// Gives the caller a final refusal; the ticket is finished.
        Refuse {
            /// The request to refuse.
            ticket: Ticket,
            /// The refusal that the caller receives.
            refusal: Refusal,
        },
        /// Tells that the target of a running request is slow, so that the driver may ask for a
        /// [`SecondAttempt`](super::PolicyEvent::SecondAttempt).
        ReportSlow {
            /// The request.
            ticket: Ticket,
        },
        /// Tells why a request gets no further attempt; a refusal follows if none is running.
        DenyRetry {
            /// The request.
            ticket: Ticket,
            /// The reason.
            denial: RetryDenial,
        },
        /// Stops a running attempt at its target;
        /// [`PolicyEvent::AttemptFailed`](super::PolicyEvent::AttemptFailed) follows.
        Cancel {
            /// The request whose attempt is stopped.
            ticket: Ticket,
        },
    }
}
