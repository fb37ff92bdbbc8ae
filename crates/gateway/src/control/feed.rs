use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;

use async_channel::Sender;
use celeryhaven_store::{StoreClient, StoreWire};
use celeryhaven_types::store::{ObjectKey, ObjectVersion, StoreReply, StoreRequest};
use smol::Timer;

use crate::control::event::{ControlEvent, Fed, FeedNews};

/// Pause after a call that the store did not answer or refused.
///
/// Load: a store that comes back while every node asks. Harm: refused calls count against the
/// rate that all nodes share. Limit: a few calls a second from each node.
const PAUSE: Duration = Duration::from_millis(200);

/// Pause between two answers of a watch, so that changes that come together are fetched together.
///
/// Load: replicas that form, with several changes each. Harm: a call for each change from every
/// node; 63 nodes spent 13,900 calls on a day of 48 s. Limit: for each node this much, so that all
/// nodes together make some forty calls a second, within bounds: a few hundred milliseconds are
/// seen at once, and a target that leaves must be known within two seconds.
const GATHER_MS_PER_NODE: u64 = 25;
const GATHER_MS_MIN: u64 = 200;
const GATHER_MS_MAX: u64 = 1_000;

/// The same while this node forms replicas: each step of a formation waits for the last one to
/// show.
const GATHER_FORMING: Duration = Duration::from_millis(20);

/// Failures in a row after which the store counts as having been away.
const FAILURES_OF_OUTAGE: u32 = 2;

/// What decides how often feeds ask.
#[derive(Debug, Default)]
pub(crate) struct FeedPace {
    /// Whether this node forms replicas now.
    pub(crate) is_forming: Cell<bool>,
    /// Live nodes, all of which ask.
    pub(crate) nodes: Cell<u64>,
}

/// Follows the objects of one kind, for ever: a list, then watches from its version.
pub(crate) struct Feed<W> {
    pub(crate) client: StoreClient<W>,
    pub(crate) prefix: ObjectKey,
    pub(crate) fed: Fed,
    pub(crate) wait_ms: u64,
    pub(crate) events: Sender<ControlEvent>,
    pub(crate) pace: Rc<FeedPace>,
    pub(crate) failures: u32,
}

impl<W: StoreWire> Feed<W> {
    /// Follows for ever.
    pub(crate) async fn follow(mut self) {
        loop {
            let request = StoreRequest::List { prefix: self.prefix.clone() };
            match self.client.call(&request).await {
                StoreReply::Listed { version, objects } => {
                    let after_outage = self.succeeded();
                    self.tell(FeedNews::Listed { objects, after_outage }).await;
                    self.watch(version).await;
                }
                _ => self.failed().await,
            }
        }
    }

    /// Watches until the store no longer keeps the history.
    async fn watch(&mut self, mut from: ObjectVersion) {
        loop {
            let request =
                StoreRequest::Watch { prefix: self.prefix.clone(), from, wait_ms: self.wait_ms };
            match self.client.call(&request).await {
                StoreReply::Changes { version, changes } => {
                    let after_outage = self.succeeded();
                    from = from.max(version);
                    let gather = !changes.is_empty();
                    self.tell(FeedNews::Changed { changes, after_outage }).await;
                    if gather {
                        Timer::after(self.gather()).await;
                    }
                }
                StoreReply::TooOld => return,
                _ => self.failed().await,
            }
        }
    }

    fn gather(&self) -> Duration {
        let for_all_ms = self.pace.nodes.get() * GATHER_MS_PER_NODE;
        match self.pace.is_forming.get() {
            true => GATHER_FORMING,
            false => Duration::from_millis(for_all_ms.clamp(GATHER_MS_MIN, GATHER_MS_MAX)),
        }
    }

    fn succeeded(&mut self) -> bool {
        let after_outage = self.failures >= FAILURES_OF_OUTAGE;
        self.failures = 0;
        after_outage
    }

    async fn failed(&mut self) {
        self.failures = self.failures.saturating_add(1);
        self.tell(FeedNews::Failed).await;
        Timer::after(PAUSE).await;
    }

    /// The control thread lives as long as its feeds.
    async fn tell(&self, news: FeedNews) {
        self.events.send(ControlEvent::Fed(self.fed, news)).await.unwrap_or_default();
    }
}
