use std::sync::Arc;

use celeryhaven_fleet::{FleetView, RouteTable, TargetEntry};
use celeryhaven_peers::Peers;
use celeryhaven_records::WriteOutcome;
use celeryhaven_target_limits::{LimitRecord, LimitWrite, NodeView, Position};
use celeryhaven_types::{TimeMs, VmName};
use slog::info;

use crate::adapter::Adapter;
use crate::control::Control;
use crate::control::advisories::target_key;
use crate::control::counted_store::StoreCallKind;
use crate::control::event::ControlEvent;
use crate::control::shared_records::write_record;
use crate::traffic::{Destination, NamedLimit};

/// The listed targets and the live nodes, for the limits of targets.
struct ControlView<'a> {
    fleet: &'a FleetView,
    routes: Option<&'a RouteTable>,
    /// Targets that requests are sent to.
    destinations: &'a [Destination],
    peers: &'a Peers,
    /// Whether the records of the other nodes have been read.
    nodes_known: bool,
    leaving: bool,
}

impl NodeView for ControlView<'_> {
    fn started_at_ms(&self, target: &VmName) -> Option<Option<u64>> {
        self.fleet.target(target).map(|entry| entry.started_at_ms)
    }

    fn cold_rate_per_s(&self, target: &VmName) -> Option<f64> {
        let destination =
            self.destinations.iter().find(|destination| destination.target == *target)?;
        self.routes?.config().service(&destination.service)?.cold_rate_per_s
    }

    fn position(&self, target: &VmName) -> Position {
        match self.nodes_known {
            true => {
                let (rank, nodes) = self.peers.position_for(target.as_str(), self.leaving);
                Position { rank, nodes }
            }
            // Every node that starts would otherwise take the whole rate.
            false => Position { rank: usize::MAX, nodes: 1 },
        }
    }
}

impl<A: Adapter> Control<A> {
    /// Records a limit that an answer has named, or its end.
    pub(super) fn observe_limit(&mut self, now: TimeMs, named: &NamedLimit) {
        info!(self.parts.log, "target limit"; "target" => named.target.as_str(),
            "rate_per_s" => named.rate_per_s, "started_at_ms" => named.started_at_ms);
        self.limits.observe(now, &named.target, named.started_at_ms, named.rate_per_s);
        self.write_limits(now);
        self.update_limits(now);
    }

    /// Records whether a listed target is cold.
    pub(super) fn record_cold(&mut self, now: TimeMs, entry: &TargetEntry) {
        self.limits.set_cold(now, &entry.name, entry.started_at_ms, entry.cold_ms);
    }

    /// Starts the writes that are due.
    pub(super) fn write_limits(&mut self, now: TimeMs) {
        if self.store_unavailable {
            return;
        }
        let removes_expired = self.feed_conditions.relays.borrow().is_empty();
        let view = ControlView {
            fleet: &self.fleet,
            routes: self.routes.as_deref(),
            destinations: &self.destinations,
            peers: &self.peers,
            nodes_known: self.nodes_listed,
            leaving: self.leaving || self.is_isolated(),
        };
        for write in self.limits.due_writes(now, &view, removes_expired) {
            let (store, events) = (self.store.clone(), self.parts.events.0.clone());
            let execute = async move {
                let outcome = write_record(
                    &store,
                    StoreCallKind::Advisories,
                    target_key(write.key()),
                    &write,
                )
                .await;
                let event = ControlEvent::LimitWritten(write, outcome);
                events.send(event).await.unwrap_or_default();
            };
            self.executor.spawn(execute).detach();
        }
    }

    /// Applies the outcome of a write.
    pub(super) fn record_limit_write(
        &mut self,
        now: TimeMs,
        write: &LimitWrite,
        outcome: WriteOutcome<LimitRecord>,
    ) {
        self.limits.written(now, write, outcome);
        self.update_limits(now);
    }

    /// Updates the limits for traffic, and logs which have begun or ended.
    pub(super) fn update_limits(&mut self, now: TimeMs) {
        let view = ControlView {
            fleet: &self.fleet,
            routes: self.routes.as_deref(),
            destinations: &self.destinations,
            peers: &self.peers,
            nodes_known: self.nodes_listed,
            leaving: self.leaving || self.is_isolated(),
        };
        let limits = self.limits.limits(now, &view);
        if limits == *self.node_limits {
            return;
        }
        for (target, limit) in &limits {
            let before = self.node_limits.get(target);
            if before.is_none_or(|before| before.node_rate_per_s != limit.node_rate_per_s) {
                info!(self.parts.log, "target limited"; "target" => target.as_str(),
                    "rate_per_s" => limit.rate_per_s, "node_rate_per_s" => limit.node_rate_per_s);
            }
        }
        for target in self.node_limits.keys().filter(|target| !limits.contains_key(*target)) {
            info!(self.parts.log, "target no longer limited"; "target" => target.as_str());
        }
        self.parts.metrics.targets_limited.set(limits.len() as i64);
        self.node_limits = Arc::new(limits);
    }
}
