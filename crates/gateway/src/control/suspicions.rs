use std::collections::BTreeMap;

use celeryhaven_derives::data;
use celeryhaven_fleet::ReplicaKey;
use celeryhaven_forming::FormingEvent;
use celeryhaven_types::{DomainName, TimeMs, VmName};

use crate::adapter::Adapter;
use crate::control::Control;
use crate::control::deciders::domain_of_target;
use crate::control::relay::{RelayAddress, send_suspicion};

/// How long none must have come before a suspicion is followed up or passed on again, in
/// milliseconds.
///
/// Load: every node with a stream at a replica sees it stand still in the same second. Harm: each
/// would have all members probed anew. Limit: once in the time of some probes; those that come
/// without a pause count as one.
const ONCE_MS: u64 = 1_000;

data! {
    /// Something that is to be looked into by the node that decides for its domain.
    #[derive(Eq, PartialOrd, Ord)]
    pub(crate) enum Suspicion {
        /// The requests at a replica stand still together.
        StandsStill(ReplicaKey),
        /// A target is named as lost, or refuses connections.
        Accused(VmName),
    }
}

impl Suspicion {
    fn into_event(self) -> FormingEvent {
        match self {
            Self::StandsStill(replica) => FormingEvent::Suspected { replica },
            Self::Accused(target) => FormingEvent::Accused { target },
        }
    }
}

/// Suspicions of the last moment.
#[derive(Debug, Default)]
pub(crate) struct Suspicions {
    until: BTreeMap<Suspicion, TimeMs>,
}

impl Suspicions {
    /// Whether a suspicion is new, and not one of the last moment.
    fn note(&mut self, now: TimeMs, suspicion: &Suspicion) -> bool {
        self.until.retain(|_, until| *until > now);
        self.until.insert(suspicion.clone(), now.after(ONCE_MS)).is_none()
    }
}

impl<A: Adapter> Control<A> {
    /// Looks into a suspicion of this node's own traffic, or tells the node that decides.
    ///
    /// Guards against a loss that only other nodes see: a decider has a stream at few of its
    /// replicas where many nodes share the callers, and learnt of a loss from the list alone,
    /// seconds after it.
    pub(super) fn suspect(&mut self, now: TimeMs, suspicion: Suspicion) {
        let Some(domain) = self.domain_of(&suspicion) else { return };
        if self.deciders.domains.contains_key(&domain) {
            return self.look_into(now, suspicion);
        }
        if !self.suspicions.note(now, &suspicion) {
            return;
        }
        let decider = self.peers.coordinator_of(&domain, self.is_cut_off(now));
        let Some(record) = decider.and_then(|node| self.peers.record(node)).cloned() else {
            return;
        };
        let peer = RelayAddress { address: record.peer_address, token: record.token };
        let channels = self.parts.targets.channels.clone();
        let tell = async move { send_suspicion(&channels, &peer, &suspicion).await };
        self.executor.spawn(tell).detach();
    }

    /// Follows up a suspicion, if this node decides for its domain.
    pub(super) fn look_into(&mut self, now: TimeMs, suspicion: Suspicion) {
        let Some(domain) = self.domain_of(&suspicion) else { return };
        if self.deciders.domains.contains_key(&domain) && self.suspicions.note(now, &suspicion) {
            self.forming(now, &domain, suspicion.into_event());
        }
    }

    fn domain_of(&self, suspicion: &Suspicion) -> Option<DomainName> {
        match suspicion {
            Suspicion::StandsStill(replica) => self.fleet.replicas().get(replica)?.domain.clone(),
            Suspicion::Accused(target) => domain_of_target(&self.fleet, target),
        }
    }
}
