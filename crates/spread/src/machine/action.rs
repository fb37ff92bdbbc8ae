use celeryhaven_derives::state;
use celeryhaven_types::NodeName;
use celeryhaven_types::store::{ObjectChange, StoreRequest};

use crate::message::SpreadMessage;

state! {
    /// An action for the driver to execute, or a change that was applied.
    pub enum SpreadAction {
        /// Send a message; delivery is not guaranteed.
        Send {
            /// The receiver.
            to: NodeName,
            /// The message.
            message: SpreadMessage,
        },
        /// Call the Object API and pass the answer to
        /// [`Spread::store_reply`](super::Spread::store_reply).
        Store {
            /// Index of the followed prefix.
            feed: usize,
            /// The call.
            request: StoreRequest,
        },
        /// An object moved to a newer version.
        Changed(ObjectChange),
    }
}
