use std::sync::mpsc::Sender;

use celeryhaven_node::ControllerEvent;
use celeryhaven_types::{OperatorName, OperatorReply, OperatorRequest};

/// Channel to the control thread.
pub(crate) type Inbox = Sender<Message>;

/// A message to the control thread.
pub(crate) enum Message {
    /// An event for the state machine.
    Event(ControllerEvent),
    /// An operator request.
    OperatorMessage(OperatorMessage),
}

/// A request of an operator and the channel for its reply.
pub(crate) struct OperatorMessage {
    pub(crate) operator: OperatorName,
    pub(crate) request: OperatorRequest,
    pub(crate) answer: async_channel::Sender<OperatorReply>,
}
