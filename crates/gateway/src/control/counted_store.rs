use std::cell::RefCell;
use std::collections::BTreeMap;
use std::rc::Rc;

use celeryhaven_store::{Freshness, StoreClient, StoreCodec};
use celeryhaven_telemetry::GatewayMetrics;
use celeryhaven_telemetry::metrics::StoreCallLabel;
use celeryhaven_types::store::{StoreReply, StoreRequest};
use slog::{Logger, info};

/// Purpose of a store call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum StoreCallKind {
    Configuration,
    Targets,
    /// Node records.
    Nodes,
    /// The directory of relays.
    Relays,
    /// Records of fabric domains.
    Placement,
    /// What nodes have seen of targets and of requests.
    Advisories,
    Evacuations,
    /// The record of granted loads.
    Loads,
}

impl StoreCallKind {
    /// Returns the name used in logs and metrics.
    pub(crate) const fn as_str(self) -> &'static str {
        match self {
            Self::Configuration => "configuration",
            Self::Targets => "targets",
            Self::Nodes => "nodes",
            Self::Relays => "relays",
            Self::Placement => "placement",
            Self::Advisories => "advisories",
            Self::Evacuations => "evacuations",
            Self::Loads => "loads",
        }
    }
}

/// Store client that counts its calls by purpose.
#[derive(Clone, Debug)]
pub(crate) struct CountedStore<W> {
    client: StoreClient<W>,
    metrics: GatewayMetrics,
    /// Calls since the last log line.
    unlogged: Rc<RefCell<BTreeMap<(&'static str, &'static str), u64>>>,
}

impl<W: StoreCodec> CountedStore<W> {
    /// Wraps a client.
    pub(crate) fn new(client: StoreClient<W>, metrics: GatewayMetrics) -> Self {
        Self { client, metrics, unlogged: Rc::default() }
    }

    /// Sends a request to the store.
    pub(crate) async fn call(&self, kind: StoreCallKind, request: &StoreRequest) -> StoreReply {
        self.count(kind, call_name(request));
        self.client.call(request).await
    }

    /// Sends a read request; the answer may be some seconds old.
    pub(crate) async fn read_stale(
        &self,
        kind: StoreCallKind,
        request: &StoreRequest,
    ) -> StoreReply {
        self.count(kind, "stale read");
        self.client.read_stale(request).await
    }

    /// Reads the first page of a list; returns whether there are more.
    pub(crate) async fn read_first_page(
        &self,
        kind: StoreCallKind,
        request: &StoreRequest,
        freshness: Freshness,
    ) -> (StoreReply, bool) {
        let call = match freshness {
            Freshness::Latest => "first page",
            Freshness::Stale => "stale first page",
        };
        self.count(kind, call);
        self.client.read_first_page(request, freshness).await
    }

    /// Logs the number of calls since the last log line, if any.
    pub(crate) fn log_calls(&self, log: &Logger) {
        for ((kind, call), count) in self.unlogged.take() {
            info!(log, "store calls"; "kind" => kind, "call" => call, "count" => count);
        }
    }

    fn count(&self, kind: StoreCallKind, call: &'static str) {
        let label = StoreCallLabel { kind: kind.as_str(), call };
        self.metrics.store_calls.get_or_create(&label).inc();
        *self.unlogged.borrow_mut().entry((label.kind, label.call)).or_default() += 1;
    }
}

const fn call_name(request: &StoreRequest) -> &'static str {
    match request {
        StoreRequest::Get { .. } => "get",
        StoreRequest::List { .. } => "list",
        StoreRequest::Watch { .. } => "watch",
        StoreRequest::Create { .. } => "create",
        StoreRequest::Update { .. } => "update",
        StoreRequest::Delete { .. } => "delete",
    }
}
