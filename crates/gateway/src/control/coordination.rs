use std::collections::BTreeSet;

use celeryhaven_clock::BootClock;
use celeryhaven_demand::{Demand, FleetSize};
use celeryhaven_fleet::{DomainTargets, EngineProfile, FleetView, RouteTable};
use celeryhaven_forming::{FormingEvent, FormingSettings, FormingView, ListedDomain};
use celeryhaven_peers::NodeRecord;
use celeryhaven_types::{DomainName, NodeName, ServiceName, TimeMs};
use slog::info;

use crate::adapter::Adapter;
use crate::control::Control;
use crate::control::event::ControlEvent;
use crate::control::feed_conditions::FleetScale;
use crate::control::relay::PeerAddress;

/// Interval between two probes of a node, in milliseconds.
///
/// A coordinator that does not answer two consecutive probes is replaced by the next candidate.
/// That is after one and a half seconds.
pub(super) const NODE_PROBE_INTERVAL_MS: u64 = 700;

/// How long a node counts as cut off after a failed store call, in milliseconds.
///
/// Covers the interval between two reads of all node records plus the timeouts of a write and a
/// read, so that a node counts as cut off for as long as it remains so.
const CUT_OFF_DURATION_MS: u64 = 5_500;

impl<A: Adapter> Control<A> {
    pub(super) fn handle_forming_event(
        &mut self,
        now: TimeMs,
        domain: &DomainName,
        event: FormingEvent,
    ) {
        let Some(routes) = self.routes.clone() else { return };
        let Some((service, profile)) = engine_service(&routes) else { return };
        let profile = self.demand_adjusted_profile(profile);
        let domains: Vec<_> = self.fleet.usable_domains(service).map(ListedDomain::new).collect();
        let store_available = self.is_store_available();
        let view =
            forming_view(&self.fleet, &profile, &domains, (self.callers_served(), store_available));
        let actions = self.coordinators.handle(now, view, domain, event);
        self.execute_actions(domain, actions);
    }

    /// Updates the set of domains that this node coordinates.
    pub(super) fn update_coordinated_domains(&mut self) {
        let now = BootClock.now();
        let Some(routes) = self.routes.clone() else { return };
        let Some((service, profile)) = engine_service(&routes) else { return };
        let all: Vec<&DomainName> = self.fleet.domains(service).map(|(name, _)| name).collect();
        self.peers.set_domains(all.iter().copied());
        let is_cut_off = self.cannot_coordinate(now);
        // Without the records of the other nodes, this node would coordinate every domain.
        let may_coordinate = !self.leaving && self.nodes_listed;
        let coordinated = all.iter().filter(|_| may_coordinate);
        let coordinated =
            coordinated.filter(|domain| self.peers.is_coordinator(domain, is_cut_off));
        let coordinated: BTreeSet<DomainName> = coordinated.map(|&domain| domain.clone()).collect();
        let settings = FormingSettings::default().with_concurrent_loads(profile.concurrent_loads);
        let before: BTreeSet<_> = self.coordinators.domains.keys().cloned().collect();
        let newest = |targets: &DomainTargets| {
            let entries = targets.names().iter().filter_map(|name| self.fleet.target(name));
            entries.filter_map(|entry| entry.started_at_ms).max()
        };
        let starts = self.fleet.domains(service).map(|(name, targets)| (name, newest(targets)));
        let earlier = self.coordinators.record_starts(&starts.collect());
        let node = &self.parts.settings.node;
        if self.coordinators.set_domains(now, node, &coordinated, &earlier, settings) {
            self.parts.metrics.domains.set(coordinated.len() as i64);
            coordinated
                .difference(&before)
                .for_each(|domain| self.load_quota.take_over(domain.clone()));
            before.difference(&coordinated).for_each(|domain| self.load_quota.hand_over(domain));
            let names: Vec<_> = coordinated.iter().map(DomainName::as_str).collect();
            info!(self.parts.log, "decides for"; "domains" => names.join(","));
        }
    }

    /// Gives up all domains after the process has stood still, until the target list has been read anew.
    ///
    /// Another node may have changed the domains meanwhile. What the planners knew of targets, and the
    /// results of calls that were under way, must not decide about its replicas.
    pub(super) fn resume(&mut self, still_ms: u64) {
        info!(self.parts.log, "process stood still"; "still_ms" => still_ms,
            "domains" => self.coordinators.domains.len());
        let given_up = std::mem::take(&mut self.coordinators.domains);
        given_up.keys().for_each(|domain| self.load_quota.hand_over(domain));
        self.source.wake();
        self.update_coordinated_domains();
    }

    /// Runs all planners and executes their actions.
    pub(super) fn execute_planned_actions(&mut self) {
        let Some(routes) = self.routes.clone() else { return };
        let Some((service, profile)) = engine_service(&routes) else { return };
        let profile = self.demand_adjusted_profile(profile);
        let domains: Vec<_> = self.fleet.usable_domains(service).map(ListedDomain::new).collect();
        let store_available = self.is_store_available();
        let view =
            forming_view(&self.fleet, &profile, &domains, (self.callers_served(), store_available));
        for (domain, actions) in self.coordinators.step(BootClock.now(), view) {
            self.execute_actions(&domain, actions);
        }
        self.feed_conditions.is_forming.set(!self.coordinators.are_idle());
    }

    /// Whether the store is assumed to accept calls of this node.
    fn is_store_available(&self) -> bool {
        !self.store_unavailable && !self.is_cut_off(BootClock.now())
    }

    /// Returns the engine profile with its model shares adjusted to demand.
    fn demand_adjusted_profile(&self, profile: &EngineProfile) -> EngineProfile {
        let mut profile = profile.clone();
        self.shares.apply(&mut profile.models);
        profile
    }

    /// Updates the model shares from the demand of the fleet.
    pub(super) fn update_demand_shares(&mut self, now: TimeMs) {
        let is_shared = self.parts.settings.demand_shares;
        let recent = is_shared.then(|| self.demand_shares.sample(now));
        let own = Demand { recent, ..self.demand.sample(now) };
        self.relay.demand.borrow_mut().set_own(own);
        let Some(routes) = self.routes.clone() else { return };
        let Some((service, profile)) = engine_service(&routes) else { return };
        let targets = self.fleet.usable_domains(service).map(|(_, targets)| targets.ready()).sum();
        if is_shared {
            self.share_by_demand(now, targets as f64 * f64::from(profile.slots));
        }
        let fleet = self.relay.demand.borrow_mut().fleet_demand(now);
        let size = FleetSize { nodes: self.peers.live_count() as u32 + 1, targets };
        if self.shares.update(&profile.models, profile.slots, size, &fleet) {
            for (model, share) in profile.models.iter().zip(self.shares.as_slice()) {
                info!(self.parts.log, "share of targets"; "model" => model.name.as_str(),
                    "share" => share, "nodes" => fleet.nodes,
                    "busy_slots" => fleet.busy_slots.get(&model.name));
            }
        }
    }

    /// Updates the source that the feeds poll.
    pub(super) fn update_upstream(&self) {
        self.feed_conditions.nodes_known.set(self.nodes_listed);
        self.feed_conditions.nodes.set(self.peers.live_count() as u64 + 1);
        let upstream = match self.feed_conditions.fleet_scale.get() {
            FleetScale::Large if !self.nodes_listed => self.upstream_by_directory(),
            _ => self.peers.upstream(),
        };
        // Until there is a directory, its first publishers know where to start.
        let is_large = self.feed_conditions.fleet_scale.get() == FleetScale::Large;
        let has_place = self.nodes_listed || upstream.is_relay;
        self.feed_conditions.may_list.set(is_large && has_place && upstream.relays.is_empty());
        let all = upstream.relays.iter().chain(&upstream.others);
        let addresses = all.map(|record| (record.node.clone(), PeerAddress::of(record)));
        let names = |records: &[NodeRecord]| -> Vec<NodeName> {
            records.iter().map(|record| record.node.clone()).collect()
        };
        let conditions = &self.feed_conditions;
        conditions.is_relay.set(upstream.is_relay);
        conditions.is_asked.set(upstream.is_asked);
        conditions.addresses.replace(addresses.collect());
        conditions.relays.replace(names(&upstream.relays));
        conditions.others.replace(names(&upstream.others));
    }

    /// Whether the store has recently rejected or not answered a call of this node.
    pub(super) fn is_cut_off(&self, now: TimeMs) -> bool {
        self.cut_off_until.is_some_and(|until| until > now)
    }

    /// Whether other nodes should coordinate domains in place of this one.
    pub(super) fn cannot_coordinate(&self, now: TimeMs) -> bool {
        self.is_cut_off(now) || self.is_isolated() || !self.standstill.is_over()
    }

    /// Whether this node has lost its links to all targets that form replicas.
    pub(super) fn is_isolated(&self) -> bool {
        let service = self.routes.as_deref().and_then(engine_service).map(|(service, _)| service);
        service
            .is_some_and(|service| self.parts.target_client.link_check.links.is_isolated(service))
    }

    /// Records a store call that was rejected or not answered.
    pub(super) fn record_cut_off(&mut self, now: TimeMs) {
        if !self.is_cut_off(now) {
            info!(self.parts.log, "store"; "serves" => false);
        }
        self.cut_off_until = Some(now.after(CUT_OFF_DURATION_MS));
    }

    /// Probes the nodes that may be advertised to callers, and the candidates that precede this one
    /// as coordinator of a domain.
    pub(super) fn probe_nodes(&mut self, now: TimeMs) {
        if now.since(self.nodes_probed_at) < NODE_PROBE_INTERVAL_MS {
            return;
        }
        self.nodes_probed_at = now;
        let mut probed: BTreeSet<NodeName> = self.peers.probed_nodes().cloned().collect();
        if let Some((service, _)) = self.routes.as_deref().and_then(engine_service) {
            let domains = self.fleet.domains(service);
            let predecessors =
                domains.flat_map(|(domain, _)| self.peers.preceding_candidates(domain));
            probed.extend(predecessors.cloned());
        }
        for node in probed {
            let Some(record) = self.peers.record(&node) else { continue };
            let address = record.ready_address;
            let (client, events) = (self.parts.target_client.clone(), self.parts.events.0.clone());
            let probe_and_report = async move {
                let probe = client.probe_node(address).await;
                events.send(ControlEvent::Probed { node, probe }).await.unwrap_or_default();
            };
            self.executor.spawn(probe_and_report).detach();
        }
    }
}

/// Returns the first service whose targets form replicas, and its engine profile.
pub(super) fn engine_service(routes: &RouteTable) -> Option<(&ServiceName, &EngineProfile)> {
    let mut services = routes.config().services.iter();
    services.find_map(|service| Some((&service.name, service.engine.as_ref()?)))
}

fn forming_view<'a>(
    fleet: &'a FleetView,
    profile: &'a EngineProfile,
    domains: &'a [ListedDomain<'a>],
    (traffic_seen, store_available): (bool, bool),
) -> FormingView<'a> {
    let (replicas, recently_listed) = (fleet.replicas(), fleet.reported_replicas());
    FormingView {
        fleet,
        replicas,
        recently_listed,
        profile,
        domains,
        traffic_seen,
        store_available,
    }
}
