use std::sync::Arc;

use async_channel::Sender;
use celeryhaven_node::{AddressAnswer, EntryEvent, KeyAnswer};
use celeryhaven_types::{DataCentreName, OrganisationName};

use crate::exchange::Exchange;

/// A message to the control thread.
pub(crate) enum Message {
    /// An event for the state machine.
    Event {
        /// The event.
        event: EntryEvent,
        /// Its exchange, kept alive until the event's actions are executed.
        exchange: Option<Arc<Exchange>>,
    },
    /// A query.
    Query(Query),
}

/// A query to the control thread.
pub(crate) enum Query {
    /// The entries that a caller should use.
    Addresses {
        /// Data centre to prefer.
        data_centre: Option<DataCentreName>,
        /// Reply channel.
        answer: Sender<AddressAnswer>,
    },
    /// Request keys for an organisation.
    Keys {
        /// The organisation.
        organisation: OrganisationName,
        /// Number of keys.
        count: u64,
        /// Reply channel.
        answer: Sender<KeyAnswer>,
    },
    /// Stop the thread without leaving.
    Stop,
}
