use std::collections::BTreeMap;

use celeryhaven_derives::data;
use celeryhaven_fleet::ReplicaKey;
use celeryhaven_forming::FormingEvent;
use celeryhaven_types::{DomainName, TimeMs, VmName};
use slog::info;

use crate::adapter::Adapter;
use crate::control::Control;
use crate::control::coordinators::domain_of_target;
use crate::control::relay::{PeerAddress, send_suspicion};

/// Quiet period after which a repeated suspicion is processed again, in milliseconds.
///
/// All nodes with a stream at a failed replica report it at about the same time; without the quiet
/// period, each report would probe all members again.
const SUSPICION_DEDUP_MS: u64 = 1_000;

data! {
    /// Suspected failure, to be investigated by the coordinator of the domain.
    #[derive(Eq, PartialOrd, Ord)]
    pub(crate) enum Suspicion {
        /// All requests at a replica have stalled.
        #[serde(rename = "StandsStill")]
        Stalled(ReplicaKey),
        /// A target was reported as lost, or refuses connections.
        #[serde(rename = "Accused")]
        LossReported(VmName),
    }
}

impl Suspicion {
    fn into_event(self) -> FormingEvent {
        match self {
            Self::Stalled(replica) => FormingEvent::Suspected { replica },
            Self::LossReported(target) => FormingEvent::LossReported { target },
        }
    }
}

/// Suspicions within the quiet period.
#[derive(Debug, Default)]
pub(crate) struct RecentSuspicions {
    expires_at: BTreeMap<Suspicion, TimeMs>,
}

impl RecentSuspicions {
    /// Records a suspicion; returns whether it is outside the quiet period.
    fn record(&mut self, now: TimeMs, suspicion: &Suspicion) -> bool {
        self.expires_at.retain(|_, expires_at| *expires_at > now);
        self.expires_at.insert(suspicion.clone(), now.after(SUSPICION_DEDUP_MS)).is_none()
    }
}

impl<A: Adapter> Control<A> {
    /// Investigates a suspicion raised by this node's traffic, or forwards it to the coordinator.
    ///
    /// A coordinator may have no stream at the affected replica, and would otherwise learn of the
    /// loss only when the target's entry expires.
    pub(super) fn handle_suspicion(&mut self, now: TimeMs, suspicion: Suspicion) {
        if self.is_isolated() {
            info!(self.parts.log, "suspicion dropped"; "suspicion" => format!("{suspicion:?}"));
            return;
        }
        let Some(domain) = self.domain_of(&suspicion) else { return };
        if self.coordinators.domains.contains_key(&domain) {
            return self.investigate(now, suspicion);
        }
        if !self.recent_suspicions.record(now, &suspicion) {
            return;
        }
        let coordinator = self.peers.coordinator_of(&domain, self.cannot_coordinate(now));
        let Some(record) = coordinator.and_then(|node| self.peers.record(node)).cloned() else {
            return;
        };
        let peer = PeerAddress::of(&record);
        let connections = self.parts.target_client.connections.clone();
        let send = async move { send_suspicion(&connections, &peer, &suspicion).await };
        self.executor.spawn(send).detach();
    }

    /// Starts an investigation if this node coordinates the domain.
    pub(super) fn investigate(&mut self, now: TimeMs, suspicion: Suspicion) {
        let Some(domain) = self.domain_of(&suspicion) else { return };
        if self.coordinators.domains.contains_key(&domain)
            && self.recent_suspicions.record(now, &suspicion)
        {
            self.handle_forming_event(now, &domain, suspicion.into_event());
        }
    }

    fn domain_of(&self, suspicion: &Suspicion) -> Option<DomainName> {
        match suspicion {
            Suspicion::Stalled(replica) => self.fleet.replicas().get(replica)?.domain.clone(),
            Suspicion::LossReported(target) => domain_of_target(&self.fleet, target),
        }
    }
}
