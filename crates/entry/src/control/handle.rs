use std::sync::{Arc, PoisonError, RwLock};

use celeryhaven_node::{AddressAnswer, EntryEvent, KeyAnswer};
use celeryhaven_types::{DataCentreName, OrganisationName};

use crate::control::{Mailbox, Message, Query, View};
use crate::exchange::Exchange;

/// Handle through which other threads reach the control thread.
#[derive(Clone, Default)]
pub(crate) struct ControlHandle {
    mailbox: Arc<Mailbox>,
    view: Arc<RwLock<Arc<View>>>,
}

impl ControlHandle {
    /// Sends a control event.
    pub(crate) fn send_control(&self, event: EntryEvent) {
        self.mailbox.push_control(Message::Event { event, exchange: None });
    }

    /// Sends an event of a caller's request.
    pub(crate) fn send_traffic(&self, event: EntryEvent, exchange: Option<Arc<Exchange>>) {
        self.mailbox.push_traffic(Message::Event { event, exchange });
    }

    /// Sends a query without waiting for an answer.
    pub(crate) fn send_query(&self, query: Query) {
        self.mailbox.push_control(Message::Query(query));
    }

    /// Returns the entries that a caller should use; `None` if the control thread has ended.
    pub(crate) async fn addresses(
        &self,
        data_centre: Option<DataCentreName>,
    ) -> Option<AddressAnswer> {
        let (answer, answered) = async_channel::bounded(1);
        let query = Query::Addresses { data_centre, answer };
        self.mailbox.push_traffic(Message::Query(query));
        answered.recv().await.ok()
    }

    /// Returns request keys for an organisation; `None` if the control thread has ended.
    pub(crate) async fn keys(
        &self,
        organisation: OrganisationName,
        count: u64,
    ) -> Option<KeyAnswer> {
        let (answer, answered) = async_channel::bounded(1);
        let query = Query::Keys { organisation, count, answer };
        self.mailbox.push_traffic(Message::Query(query));
        answered.recv().await.ok()
    }

    /// Returns the latest published view.
    pub(crate) fn view(&self) -> Arc<View> {
        self.view.read().unwrap_or_else(PoisonError::into_inner).clone()
    }

    pub(crate) fn publish(&self, view: View) {
        *self.view.write().unwrap_or_else(PoisonError::into_inner) = Arc::new(view);
    }

    pub(crate) fn mailbox(&self) -> &Mailbox {
        &self.mailbox
    }
}
