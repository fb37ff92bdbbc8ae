use std::collections::BTreeSet;

use celeryhaven_clock::BootClock;
use celeryhaven_demand::FleetSize;
use celeryhaven_fleet::{EngineProfile, FleetView, RouteTable};
use celeryhaven_forming::{FormingEvent, FormingSettings, FormingView, ListedDomain};
use celeryhaven_types::{DomainName, NodeName, ServiceName, TimeMs};
use slog::info;

use crate::adapter::Adapter;
use crate::control::Control;
use crate::control::event::ControlEvent;
use crate::control::relay::RelayAddress;

/// Time between two probes of a node, in milliseconds.
///
/// Two failed probes are one and a half seconds, after which the next node goes on with what a dead
/// one left.
const PROBE_NODES_MS: u64 = 700;

/// How long a node that the store did not serve counts as cut off from it, in milliseconds.
///
/// The time between two reads of all records, and that which a write and a read without an answer
/// take, so that a node which stays cut off says so all the while.
const CUT_OFF_MS: u64 = 5_500;

impl<A: Adapter> Control<A> {
    pub(super) fn forming(&mut self, now: TimeMs, domain: &DomainName, event: FormingEvent) {
        let Some(routes) = self.routes.clone() else { return };
        let Some((service, profile)) = engine(&routes) else { return };
        let profile = self.profile_by_demand(profile);
        let domains: Vec<_> = self.fleet.domains(service).map(ListedDomain::new).collect();
        let serves = self.is_store_serving();
        let view = forming_view(&self.fleet, &profile, &domains, (self.traffic_seen, serves));
        let actions = self.deciders.handle(now, view, domain, event);
        self.carry_out(domain, actions);
    }

    /// Takes the domains that this node decides for, by the nodes and domains that it knows.
    pub(super) fn choose_domains(&mut self) {
        let now = BootClock.now();
        let Some(routes) = self.routes.clone() else { return };
        let Some((service, profile)) = engine(&routes) else { return };
        let all: Vec<&DomainName> = self.fleet.domains(service).map(|(name, _)| name).collect();
        self.peers.set_domains(all.iter().copied());
        let is_cut_off = self.is_cut_off(now);
        // A node that has not read the others' records would take every domain for its own.
        let decides = !self.leaving && self.nodes_listed;
        let mine = all.iter().filter(|_| decides);
        let mine = mine.filter(|domain| self.peers.is_coordinator(domain, is_cut_off));
        let mine: BTreeSet<DomainName> = mine.map(|&domain| domain.clone()).collect();
        let settings = FormingSettings::default().with_loads(
            profile.loads_per_s,
            profile.loads_at_once,
            all.len(),
        );
        if self.deciders.set(now, &self.parts.settings.node, &mine, settings) {
            self.parts.metrics.domains.set(mine.len() as i64);
            let names: Vec<_> = mine.iter().map(DomainName::as_str).collect();
            info!(self.parts.log, "decides for"; "domains" => names.join(","));
        }
    }

    /// Lets the deciders of this node's domains look at the list.
    pub(super) fn step_deciders(&mut self) {
        let Some(routes) = self.routes.clone() else { return };
        let Some((service, profile)) = engine(&routes) else { return };
        let profile = self.profile_by_demand(profile);
        let domains: Vec<_> = self.fleet.domains(service).map(ListedDomain::new).collect();
        let serves = self.is_store_serving();
        let view = forming_view(&self.fleet, &profile, &domains, (self.traffic_seen, serves));
        for (domain, actions) in self.deciders.step(BootClock.now(), view) {
            self.carry_out(&domain, actions);
        }
        self.pace.is_forming.set(!self.deciders.are_idle());
    }

    /// Whether the store serves this node, as far as is known.
    fn is_store_serving(&self) -> bool {
        !self.store_away && !self.is_cut_off(BootClock.now())
    }

    /// The profile of the engines, with the shares that the demand asks for.
    fn profile_by_demand(&self, profile: &EngineProfile) -> EngineProfile {
        let mut profile = profile.clone();
        self.shares.apply(&mut profile.models);
        profile
    }

    /// Brings the models' shares up to date with the demand of the fleet.
    pub(super) fn follow_demand(&mut self, now: TimeMs) {
        let mut tree = self.relay.demand.borrow_mut();
        tree.set_own(self.demand.sample(now));
        let Some(routes) = self.routes.clone() else { return };
        let Some((service, profile)) = engine(&routes) else { return };
        let targets = self.fleet.domains(service).map(|(_, targets)| targets.ready()).sum();
        let fleet = tree.fleet(now);
        let size = FleetSize { nodes: self.peers.live_count() as u32 + 1, targets };
        if self.shares.update(&profile.models, profile.slots, size, &fleet) {
            for (model, share) in profile.models.iter().zip(self.shares.as_slice()) {
                info!(self.parts.log, "share of targets"; "model" => model.name.as_str(),
                    "share" => share, "nodes" => fleet.nodes,
                    "busy_slots" => fleet.busy_slots.get(&model.name));
            }
        }
    }

    /// Chooses whom the feeds ask.
    pub(super) fn choose_relay(&self) {
        self.pace.nodes_known.set(self.nodes_listed);
        self.pace.nodes.set(self.peers.live_count() as u64 + 1);
        let upstream = self.peers.upstream();
        let relay = upstream
            .relay
            .map(|record| RelayAddress { address: record.peer_address, token: record.token });
        self.pace.is_relay.set(upstream.is_relay);
        self.pace.relay.replace(relay);
    }

    /// Whether the store has turned away or not answered a call of this node lately.
    pub(super) fn is_cut_off(&self, now: TimeMs) -> bool {
        self.cut_off_until.is_some_and(|until| until > now)
    }

    /// Takes over that the store did not serve a call.
    pub(super) fn cut_off(&mut self, now: TimeMs) {
        if !self.is_cut_off(now) {
            info!(self.parts.log, "store"; "serves" => false);
        }
        self.cut_off_until = Some(now.after(CUT_OFF_MS));
    }

    /// Asks the nodes that callers are told of, and those that decide before this one.
    pub(super) fn probe_nodes(&mut self, now: TimeMs) {
        if now.since(self.nodes_probed_at) < PROBE_NODES_MS {
            return;
        }
        self.nodes_probed_at = now;
        let mut probed: BTreeSet<NodeName> = self.peers.probed_nodes().cloned().collect();
        if let Some((service, _)) = self.routes.as_deref().and_then(engine) {
            let domains = self.fleet.domains(service);
            let watched = domains.flat_map(|(domain, _)| self.peers.preceding_candidates(domain));
            probed.extend(watched.cloned());
        }
        for node in probed {
            let Some(record) = self.peers.record(&node) else { continue };
            let address = record.ready_address;
            let (targets, events) = (self.parts.targets.clone(), self.parts.events.0.clone());
            let probe = async move {
                let probe = targets.probe_node(address).await;
                events.send(ControlEvent::Probed { node, probe }).await.unwrap_or_default();
            };
            self.executor.spawn(probe).detach();
        }
    }
}

/// The service whose targets form replicas, and its profile.
fn engine(routes: &RouteTable) -> Option<(&ServiceName, &EngineProfile)> {
    let mut services = routes.config().services.iter();
    services.find_map(|service| Some((&service.name, service.engine.as_ref()?)))
}

fn forming_view<'a>(
    fleet: &'a FleetView,
    profile: &'a EngineProfile,
    domains: &'a [ListedDomain<'a>],
    (traffic_seen, store_serves): (bool, bool),
) -> FormingView<'a> {
    let (replicas, shown) = (fleet.replicas(), fleet.shown());
    FormingView { fleet, replicas, shown, profile, domains, traffic_seen, store_serves }
}
