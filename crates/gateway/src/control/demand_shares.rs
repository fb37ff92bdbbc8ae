use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

use celeryhaven_demand::{RecentDemand, RecentMeter};
use celeryhaven_types::{ModelName, NodeName, TimeMs};
use slog::warn;

use crate::adapter::Adapter;
use crate::control::Control;
use crate::control::event::FeedKind;
use crate::control::relay::{DemandReport, PeerAddress, RelayRequest, WaitFor, poll_relay};
use crate::traffic::{KnownDemand, OfferedLoad};

/// Interval between two publications of the demand to traffic, in milliseconds.
const PUBLISH_INTERVAL_MS: u64 = 250;

/// Interval between two updates of what reports are checked by, and between two reports of a root to
/// the other roots, in milliseconds.
const EXCHANGE_INTERVAL_MS: u64 = 1_000;

/// Interval between two log lines on dropped reports, in milliseconds.
const FAULT_LOG_INTERVAL_MS: u64 = 5_000;

/// State of the control thread for shares of the slots by demand.
#[derive(Debug, Default)]
pub(super) struct DemandShares {
    /// Short-term demand of this node's callers.
    meters: BTreeMap<ModelName, RecentMeter>,
    published_at: TimeMs,
    exchanged_at: TimeMs,
    faults_logged_at: Option<TimeMs>,
    /// Last demand published to traffic.
    pub(super) known: Option<Arc<KnownDemand>>,
}

impl DemandShares {
    /// Adds load that callers have offered.
    pub(super) fn add(&mut self, now: TimeMs, loads: &[OfferedLoad]) {
        for load in loads {
            self.meters.entry(load.model.clone()).or_default().add(now, load.slot_ms);
        }
    }

    /// Returns the short-term demand of this node.
    pub(super) fn sample(&self, now: TimeMs) -> RecentDemand {
        let busy = |(model, meter): (&ModelName, &RecentMeter)| {
            (model.clone(), meter.busy_slots(now) as f32)
        };
        let busy_slots = self.meters.iter().map(busy).collect();
        RecentDemand { nodes: 1, age_ms: 0, busy_slots }
    }
}

impl<A: Adapter> Control<A> {
    /// Publishes the demand of the fleet, and exchanges it with the other roots.
    pub(super) fn share_by_demand(&mut self, now: TimeMs, fleet_slots: f64) {
        if now.since(self.demand_shares.exchanged_at) >= EXCHANGE_INTERVAL_MS {
            self.demand_shares.exchanged_at = now;
            self.set_report_bounds(fleet_slots);
            self.report_to_roots(now);
        }
        self.log_dropped_reports(now);
        if now.since(self.demand_shares.published_at) < PUBLISH_INTERVAL_MS {
            return;
        }
        self.demand_shares.published_at = now;
        let fleet = self.relay.demand.borrow_mut().fleet_demand(now).recent;
        self.demand_shares.known = fleet.map(|demand| {
            let measured_at = now.before(u64::from(demand.age_ms));
            Arc::new(KnownDemand { measured_at, demand })
        });
    }

    fn set_report_bounds(&self, fleet_slots: f64) {
        let own = self.parts.settings.node.clone();
        let nodes = self
            .nodes_listed
            .then(|| -> BTreeSet<NodeName> { self.peers.nodes().cloned().chain([own]).collect() });
        if fleet_slots > 0.0 {
            self.relay.demand.borrow_mut().set_bounds(fleet_slots, nodes);
        }
    }

    /// Reports the demand of this root and its followers to the other roots, which have other
    /// followers.
    fn report_to_roots(&self, now: TimeMs) {
        let own = &self.parts.settings.node;
        let roots = self.peers.roots();
        let is_root = self.feed_conditions.is_relay.get() && roots.contains(own);
        let others: BTreeSet<NodeName> =
            roots.into_iter().filter(|root| is_root && root != own).collect();
        let mut demand = self.relay.demand.borrow_mut();
        demand.set_roots(others.clone());
        let report = DemandReport { node: own.clone(), demand: demand.sum(now) };
        // The answer is not used; the list of evacuations is the shortest.
        let (kind, wait_for) = (FeedKind::Evacuations, WaitFor::Change);
        let request = RelayRequest { kind, from: None, wait_ms: 0, wait_for };
        for root in others {
            let Some(address) = self.peers.record(&root).map(PeerAddress::of) else { continue };
            let connections = self.parts.target_client.connections.clone();
            let report = report.clone();
            let send =
                async move { poll_relay(&connections, &address, &request, Some(&report)).await };
            self.executor.spawn(send).detach();
        }
    }

    fn log_dropped_reports(&mut self, now: TimeMs) {
        let last = self.demand_shares.faults_logged_at;
        if last.is_some_and(|at| now.since(at) < FAULT_LOG_INTERVAL_MS) {
            return;
        }
        let Some((node, fault, count)) = self.relay.demand.borrow_mut().take_faults() else {
            return;
        };
        self.demand_shares.faults_logged_at = Some(now);
        let node = node.as_ref().map_or("upstream", NodeName::as_str);
        warn!(self.parts.log, "short-term demand dropped";
            "node" => node, "why" => fault.as_str(), "count" => count);
    }
}
