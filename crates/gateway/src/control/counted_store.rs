use std::cell::RefCell;
use std::collections::BTreeMap;
use std::rc::Rc;

use celeryhaven_store::{StoreClient, StoreCodec};
use celeryhaven_telemetry::GatewayMetrics;
use celeryhaven_telemetry::metrics::StoreCallLabel;
use celeryhaven_types::store::{StoreReply, StoreRequest};
use slog::{Logger, info};

/// What a call to the store is made for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum StoreKind {
    /// The configuration.
    Configuration,
    /// The list of targets.
    Targets,
    /// Records of nodes.
    Nodes,
    /// Records of fabric domains.
    Placement,
}

impl StoreKind {
    /// The word used in logs and metrics.
    pub(crate) const fn as_str(self) -> &'static str {
        match self {
            Self::Configuration => "configuration",
            Self::Targets => "targets",
            Self::Nodes => "nodes",
            Self::Placement => "placement",
        }
    }
}

/// The store's client, with its calls counted by what they are for.
#[derive(Clone, Debug)]
pub(crate) struct CountedStore<W> {
    client: StoreClient<W>,
    metrics: GatewayMetrics,
    /// Calls since they were logged last.
    unlogged: Rc<RefCell<BTreeMap<(&'static str, &'static str), u64>>>,
}

impl<W: StoreCodec> CountedStore<W> {
    /// Counts the calls of a client.
    pub(crate) fn new(client: StoreClient<W>, metrics: GatewayMetrics) -> Self {
        Self { client, metrics, unlogged: Rc::default() }
    }

    /// Carries out a call.
    pub(crate) async fn call(&self, kind: StoreKind, request: &StoreRequest) -> StoreReply {
        self.count(kind, word(request));
        self.client.call(request).await
    }

    /// Carries out a read whose answer may be seconds old.
    pub(crate) async fn read_stale(&self, kind: StoreKind, request: &StoreRequest) -> StoreReply {
        self.count(kind, "stale read");
        self.client.read_stale(request).await
    }

    /// Logs how many calls were made since the last time, if there were any.
    pub(crate) fn log_calls(&self, log: &Logger) {
        for ((kind, call), count) in self.unlogged.take() {
            info!(log, "store calls"; "kind" => kind, "call" => call, "count" => count);
        }
    }

    fn count(&self, kind: StoreKind, call: &'static str) {
        let label = StoreCallLabel { kind: kind.as_str(), call };
        self.metrics.store_calls.get_or_create(&label).inc();
        *self.unlogged.borrow_mut().entry((label.kind, label.call)).or_default() += 1;
    }
}

const fn word(request: &StoreRequest) -> &'static str {
    match request {
        StoreRequest::Get { .. } => "get",
        StoreRequest::List { .. } => "list",
        StoreRequest::Watch { .. } => "watch",
        StoreRequest::Create { .. } => "create",
        StoreRequest::Update { .. } => "update",
        StoreRequest::Delete { .. } => "delete",
    }
}
