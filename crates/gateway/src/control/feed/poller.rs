use std::rc::Rc;
use std::time::Duration;

use celeryhaven_clock::BootClock;
use celeryhaven_fleet::{RelayAnswer, StoreContact};
use celeryhaven_http::ConnectionPool;
use celeryhaven_sources::Source;
use celeryhaven_store::StoreCodec;
use celeryhaven_types::store::{
    Object, ObjectChange, ObjectKey, ObjectVersion, StoreReply, StoreRequest,
};
use celeryhaven_types::{NodeName, TimeMs};
use smol::Timer;

use crate::control::counted_store::CountedStore;
use crate::control::event::FeedKind;
use crate::control::feed_conditions::FeedConditions;
use crate::control::relay::{DemandReport, RelayRequest, RelayState, WaitFor, poll_relay};

/// Polls the store or another node for the objects of one kind.
#[derive(Clone, Debug)]
pub(crate) struct Poller<W> {
    pub(crate) store: CountedStore<W>,
    pub(crate) connections: ConnectionPool,
    pub(crate) node: NodeName,
    pub(crate) prefix: ObjectKey,
    pub(crate) kind: FeedKind,
    pub(crate) conditions: Rc<FeedConditions>,
    pub(crate) relay: RelayState,
}

/// One poll of a source.
#[derive(Clone, Debug)]
pub(super) struct PollRequest {
    pub(super) source: Source,
    /// Version up to which this node is up to date; `None` to get all objects.
    pub(super) from: Option<ObjectVersion>,
    pub(super) wait_ms: u64,
    /// Time after which the poll has failed; `None` for that of the client.
    pub(super) timeout_ms: Option<u64>,
    pub(super) wait_for: WaitFor,
    /// Whether the source is followed, rather than tried.
    pub(super) is_followed: bool,
}

/// What a poll has brought.
#[derive(Clone, Debug)]
pub(super) enum Polled {
    Objects {
        version: ObjectVersion,
        objects: PolledObjects,
        /// How recently the source was in contact with the store.
        contact: StoreContact,
        /// Earliest time at which the store can have held this.
        confirmed_at: TimeMs,
    },
    /// The changes since the requested version are not available any more.
    TooOld,
    /// The source did not answer, rejected the poll, or has lost its own sources.
    Failed,
}

/// Objects of one kind.
#[derive(Clone, Debug)]
pub(super) enum PolledObjects {
    All(Vec<Object>),
    Changes(Vec<ObjectChange>),
}

impl PolledObjects {
    pub(super) fn is_empty(&self) -> bool {
        matches!(self, Self::Changes(changes) if changes.is_empty())
    }
}

impl<W: StoreCodec + Clone> Poller<W> {
    pub(super) async fn poll(&self, request: &PollRequest) -> Polled {
        let exchange = async {
            match &request.source {
                Source::Store => self.poll_store(request).await,
                Source::Node(node) => self.poll_node(node, request).await,
            }
        };
        let Some(timeout_ms) = request.timeout_ms else { return exchange.await };
        let late = async {
            Timer::after(Duration::from_millis(timeout_ms)).await;
            Polled::Failed
        };
        smol::future::or(exchange, late).await
    }

    async fn poll_store(&self, request: &PollRequest) -> Polled {
        let prefix = self.prefix.clone();
        let call = match request.from {
            None => StoreRequest::List { prefix },
            Some(from) => StoreRequest::Watch { prefix, from, wait_ms: request.wait_ms },
        };
        let sent_at = BootClock.now();
        let contact = StoreContact::default();
        match self.store.call(self.kind.store_call_kind(), &call).await {
            StoreReply::Listed { version, objects } => Polled::Objects {
                version,
                objects: PolledObjects::All(objects),
                contact,
                confirmed_at: sent_at,
            },
            StoreReply::Changes { version, changes } => {
                let version = request.from.map_or(version, |from| from.max(version));
                let objects = PolledObjects::Changes(changes);
                let confirmed_at = answered_at(sent_at, request.wait_ms, &objects);
                Polled::Objects { version, objects, contact, confirmed_at }
            }
            StoreReply::TooOld => Polled::TooOld,
            _ => Polled::Failed,
        }
    }

    async fn poll_node(&self, node: &NodeName, request: &PollRequest) -> Polled {
        let Some(address) = self.conditions.addresses.borrow().get(node).cloned() else {
            return Polled::Failed;
        };
        let &PollRequest { from, wait_ms, wait_for, .. } = request;
        let call = RelayRequest { kind: self.kind, from, wait_ms, wait_for };
        let report = self.demand_report();
        let sent_at = BootClock.now();
        let reply = poll_relay(&self.connections, &address, &call, report.as_ref()).await;
        let Some(reply) = reply else { return Polled::Failed };
        let applied =
            self.relay.demand.borrow_mut().apply_fleet_demand(BootClock.now(), reply.demand);
        applied.unwrap_or_default();
        let (version, objects, contact) = match reply.answer {
            RelayAnswer::Listed { version, objects, store } => {
                (version, PolledObjects::All(objects), store)
            }
            RelayAnswer::Changes { version, changes, store } => {
                (version, PolledObjects::Changes(changes), store)
            }
            RelayAnswer::Stale => return Polled::Failed,
        };
        let answered_at = answered_at(sent_at, wait_ms, &objects);
        let confirmed_at = answered_at.before(contact.contact_age_ms);
        Polled::Objects { version, objects, contact, confirmed_at }
    }

    /// Returns the demand of this node and its followers; only one feed of a node reports it.
    fn demand_report(&self) -> Option<DemandReport> {
        (self.kind == FeedKind::Targets).then(|| {
            let demand = self.relay.demand.borrow_mut().sum(BootClock.now());
            DemandReport { node: self.node.clone(), demand }
        })
    }
}

/// Returns the earliest time at which a source can have answered.
///
/// An answer may have lain in a buffer while this process was suspended or busy. One without changes
/// was made when the wait was over.
fn answered_at(sent_at: TimeMs, wait_ms: u64, objects: &PolledObjects) -> TimeMs {
    let now = BootClock.now();
    match objects.is_empty() && now.since(sent_at) >= wait_ms {
        true => sent_at.after(wait_ms),
        false => sent_at,
    }
}
