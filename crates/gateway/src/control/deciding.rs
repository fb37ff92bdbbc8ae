use std::collections::BTreeSet;

use celeryhaven_clock::BootClock;
use celeryhaven_fleet::EngineProfile;
use celeryhaven_forming::{FormingEvent, FormingSettings, FormingView};
use celeryhaven_types::{DomainName, NodeName, ServiceName, TimeMs};
use slog::info;

use crate::adapter::Adapter;
use crate::control::Control;
use crate::control::deciders::domains_of;
use crate::control::event::ControlEvent;
use crate::control::relay::RelayAddress;

/// Time between two probes of a node, in milliseconds.
///
/// Two failed probes are one and a half seconds, after which the next node goes on with what a dead
/// one left.
const PROBE_NODES_MS: u64 = 700;

/// Nodes after a domain's decider that watch it by probes.
///
/// Six, so that a domain has a decider where the store turns away a third of the nodes: reckoned, its
/// first three are all turned away in one case of 25, its first seven in one of 1,500. The cost for a
/// node does not grow with the fleet.
const WATCHERS: usize = 6;

/// How long a node that the store did not serve counts as cut off from it, in milliseconds.
///
/// The time between two reads of all records, and that which a write and a read without an answer
/// take, so that a node which stays cut off says so all the while.
const CUT_OFF_MS: u64 = 5_500;

impl<A: Adapter> Control<A> {
    /// The service whose targets form replicas, and its profile.
    pub(super) fn engine(&self) -> Option<(ServiceName, EngineProfile)> {
        let config = self.routes.as_ref()?.config();
        let mut services = config.services.iter();
        services.find_map(|service| Some((service.name.clone(), service.engine.clone()?)))
    }

    pub(super) fn forming(&mut self, now: TimeMs, domain: &DomainName, event: FormingEvent) {
        let Some((service, profile)) = self.engine() else { return };
        let domains: Vec<_> = domains_of(&self.fleet, &service).into_iter().collect();
        let view = FormingView {
            fleet: &self.fleet,
            replicas: &self.replicas,
            shown: &self.shown,
            profile: &profile,
            domains: &domains,
            traffic_seen: self.traffic_seen,
        };
        let actions = self.deciders.hear(now, view, domain, event);
        self.carry_out(domain, actions);
    }

    pub(super) fn step_deciders(&mut self) {
        let now = BootClock.now();
        let Some((service, profile)) = self.engine() else { return };
        let all = domains_of(&self.fleet, &service);
        // A node that has not read the others' records would take every domain for its own.
        let mine: BTreeSet<_> = match self.leaving || !self.nodes_listed {
            true => BTreeSet::new(),
            false => all.iter().filter(|domain| self.is_decider(now, domain)).cloned().collect(),
        };
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
        let domains: Vec<_> = all.into_iter().collect();
        let view = FormingView {
            fleet: &self.fleet,
            replicas: &self.replicas,
            shown: &self.shown,
            profile: &profile,
            domains: &domains,
            traffic_seen: self.traffic_seen,
        };
        for (domain, actions) in self.deciders.step(now, view) {
            self.carry_out(&domain, actions);
        }
        self.pace.is_forming.set(!self.deciders.are_idle());
        self.choose_relay();
    }

    /// Chooses whom the feeds ask.
    fn choose_relay(&self) {
        self.pace.nodes.set(self.nodes.live().count() as u64);
        let own = self.own_record();
        let relays = self.nodes.relays(&own);
        let is_relay = relays.iter().any(|record| record.node == own.node);
        let first = relays.first().filter(|_| !is_relay).map(|record| RelayAddress {
            address: record.peer_address,
            token: record.token.clone(),
        });
        self.pace.is_relay.set(is_relay);
        self.pace.relay.replace(first);
    }

    /// Whether no node that comes before this one can decide, and this one can.
    pub(super) fn is_decider(&self, now: TimeMs, domain: &DomainName) -> bool {
        let own = &self.parts.settings.node;
        let ranking = self.nodes.ranking(domain, own);
        let is_cut_off = self.is_cut_off(now);
        let deciding = self.nodes.deciding(own, !is_cut_off);
        let mut before = ranking.iter().take_while(|name| *name != own);
        let is_first = before.all(|name| !deciding.contains(name));
        let others_decide = is_cut_off && self.nodes.is_any_served(own);
        is_first && !others_decide
    }

    /// The node that decides for a domain, as far as this one knows.
    pub(super) fn decider_of(&self, now: TimeMs, domain: &DomainName) -> Option<NodeName> {
        let own = &self.parts.settings.node;
        let deciding = self.nodes.deciding(own, !self.is_cut_off(now));
        let mut ranking = self.nodes.ranking(domain, own).into_iter();
        ranking.find(|name| deciding.contains(name))
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
        let named = self.nodes.to_probe(&self.parts.settings.node);
        let domains = self.engine().map(|(service, _)| domains_of(&self.fleet, &service));
        let deciders = domains.iter().flatten().flat_map(|domain| self.watched(domain));
        let probed: BTreeSet<NodeName> = named.into_iter().chain(deciders).collect();
        for node in probed {
            let Some(record) = self.nodes.record(&node) else { continue };
            let address = record.ready_address;
            let (targets, events) = (self.parts.targets.clone(), self.parts.events.0.clone());
            let probe = async move {
                let probe = targets.probe_node(address).await;
                events.send(ControlEvent::Probed { node, probe }).await.unwrap_or_default();
            };
            self.executor.spawn(probe).detach();
        }
    }

    /// Nodes that decide for a domain before this one, if it is among the next.
    pub(super) fn watched(&self, domain: &DomainName) -> Vec<NodeName> {
        let own = &self.parts.settings.node;
        let ranking = self.nodes.ranking(domain, own);
        let place = ranking.iter().position(|name| name == own).unwrap_or_default();
        match place <= WATCHERS {
            true => ranking[..place].to_vec(),
            false => Vec::new(),
        }
    }
}
