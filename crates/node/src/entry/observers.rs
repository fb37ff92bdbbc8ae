use std::collections::BTreeSet;

use celeryhaven_policy::{PolicyEvent, RequestPolicy, TargetKey, TargetLoad};
use celeryhaven_types::{DataCentreName, NodeName, ReplicaName, TimeMs};

use crate::entry::observing::{Serving, Target};
use crate::entry::rank::rank;
use crate::entry::{EntryAction, EntryNode, ObservedLoad, PeerMessage, ReplicaObservation};

/// Entries that observe one replica; the second covers the loss of the first.
const OBSERVERS_PER_REPLICA: usize = 2;
/// How long a node relies only on its own polls after one of its requests failed.
const OBSERVER_DISTRUST_MS: u64 = 10_000;

/// Polling of replicas, shared among entries.
///
/// Two entries observe each replica and the others query them, so the poll load on a member does
/// not grow with the number of entries. An entry polls by itself while the observers are silent,
/// and after one of its own requests failed, because observers cannot detect a broken link between
/// this node and the target.
impl<P: RequestPolicy> EntryNode<P> {
    /// Queries the observers, and polls replicas whose observers are silent.
    pub(crate) fn observe(&mut self, now: TimeMs, out: &mut Vec<EntryAction>) {
        if self.observe_due_at > now {
            return;
        }
        self.observe_due_at = now.after(self.settings.poll_interval_ms);
        let asked = self.assign_observers(now);
        self.polls.set_members(now, &self.targets.members(&self.vms));
        self.send_polls(now, out);
        let message = PeerMessage::Observe { asked: now.get() };
        let peers = self.peers.iter().filter(|peer| asked.contains(&peer.node));
        out.extend(peers.map(|peer| EntryAction::SendPeer {
            address: peer.peer_address,
            message: message.clone(),
        }));
    }

    /// Selects the replicas that this node polls; returns the observers to query for the others.
    fn assign_observers(&mut self, now: TimeMs) -> BTreeSet<NodeName> {
        let own = self.settings.incarnation.node.clone();
        let mut entries: Vec<(&NodeName, &DataCentreName)> =
            self.peers.iter().map(|peer| (&peer.node, &peer.data_centre)).collect();
        entries.push((&own, &self.settings.data_centre));
        let age_max_ms = self.settings.observation_age_max_ms();
        let late_ms = self.settings.poll_interval_ms * 3 / 2;
        let mut asked = BTreeSet::new();
        for target in self.targets.iter_mut().filter(|target| target.wanted) {
            let Serving::Replica { name, .. } = &target.serving else { continue };
            let observers = observers(name, &target.data_centre, &entries);
            target.is_observer = observers.contains(&own);
            target.is_polled = target.is_observer || target.remote.is_older_than(now, age_max_ms);
            // The second observer is queried only when the first is late.
            let is_late = target.remote.is_older_than(now, late_ms);
            let count = if is_late { OBSERVERS_PER_REPLICA } else { 1 };
            if !target.is_observer {
                asked.extend(observers.into_iter().take(count));
            }
        }
        asked
    }

    pub(crate) fn peer_message(
        &mut self,
        now: TimeMs,
        from: &NodeName,
        message: PeerMessage,
        out: &mut Vec<EntryAction>,
    ) {
        match message {
            PeerMessage::Membership(message) => self.receive_membership(now, from, message, out),
            PeerMessage::Spread(message) => self.receive_spread(now, from, message, out),
            PeerMessage::Observe { asked } => self.answer_observe(now, from, asked, out),
            PeerMessage::Observations { asked, replicas } => {
                let requested_at = TimeMs::new(asked).min(now);
                for observation in replicas {
                    self.apply_observation(now, requested_at, &observation, out);
                }
            }
            PeerMessage::Observed { replica, generation, boots, .. } => {
                if boots.is_empty()
                    && let Some(key) = self.targets.replica(&replica, generation)
                    && let Some(target) = self.targets.get_mut(key)
                {
                    target.remote.report_loss(now);
                    self.announce(now, key, out);
                }
            }
        }
    }

    fn answer_observe(
        &mut self,
        now: TimeMs,
        from: &NodeName,
        asked: u64,
        out: &mut Vec<EntryAction>,
    ) {
        let life_ms = self.settings.report_life_ms;
        let Some(peer) = self.peers.iter().find(|peer| peer.node == *from) else { return };
        let observed = self.targets.iter().filter(|target| target.wanted && target.is_observer);
        let replicas = observed.filter_map(|target| observation(target, now, life_ms)).collect();
        out.push(EntryAction::SendPeer {
            address: peer.peer_address,
            message: PeerMessage::Observations { asked, replicas },
        });
    }

    fn apply_observation(
        &mut self,
        now: TimeMs,
        requested_at: TimeMs,
        observation: &ReplicaObservation,
        out: &mut Vec<EntryAction>,
    ) {
        let key = self.targets.replica(&observation.replica, observation.generation);
        let Some(key) = key else { return };
        let Some(target) = self.targets.get_mut(key) else { return };
        target.remote.observed(requested_at, observation.age_ms, observation.whole);
        let is_own = target.is_polled;
        self.announce(now, key, out);
        let up = self.targets.get(key).is_some_and(Target::is_up);
        if let Some(load) = observation.load.filter(|_| up && !is_own) {
            let load = target_load(load, now.since(requested_at));
            self.notify_policy(now, PolicyEvent::Reported { target: key, load }, out);
        }
    }

    /// Notifies all entries that a replica observed by this node is not whole.
    pub(crate) fn report_loss(&mut self, key: TargetKey, out: &mut Vec<EntryAction>) {
        let Some(target) = self.targets.get(key).filter(|target| target.is_observer) else {
            return;
        };
        let Some((replica, generation)) = target.formation() else { return };
        let message = PeerMessage::Observed {
            replica,
            generation,
            boots: Vec::new(),
            age_ms: 0,
            running: 0,
            waiting: 0,
            prefill_tokens_queued: 0,
            kv_used_permille: 0,
            tokens_generated: 0,
        };
        out.extend(self.peers.iter().map(|peer| EntryAction::SendPeer {
            address: peer.peer_address,
            message: message.clone(),
        }));
    }

    /// Relies on own polls for a while, because a request to this target failed.
    pub(crate) fn distrust_observers(&mut self, now: TimeMs, key: TargetKey) {
        let until = now.after(OBSERVER_DISTRUST_MS);
        if let Some(target) = self.targets.get_mut(key) {
            target.remote.distrust(now, until);
            self.observe_due_at = now;
        }
    }
}

/// Returns the observers of a replica: entries of its data centre, or of any if it has none there.
fn observers(
    replica: &ReplicaName,
    data_centre: &DataCentreName,
    entries: &[(&NodeName, &DataCentreName)],
) -> Vec<NodeName> {
    let near: Vec<_> = entries.iter().filter(|(_, place)| *place == data_centre).collect();
    let eligible = if near.is_empty() { entries.iter().collect() } else { near };
    let mut ranked: Vec<_> = eligible
        .iter()
        .map(|(node, _)| (rank(replica.as_str(), node.as_str()), (*node).clone()))
        .collect();
    ranked.sort_unstable();
    ranked.into_iter().rev().take(OBSERVERS_PER_REPLICA).map(|(_, node)| node).collect()
}

fn observation(target: &Target, now: TimeMs, report_life_ms: u64) -> Option<ReplicaObservation> {
    let Serving::Replica { agreement, .. } = &target.serving else { return None };
    let (replica, generation) = target.formation()?;
    let until = agreement.evaluate(now).until();
    let age_ms = until.map_or(0, |until| report_life_ms.saturating_sub(until.since(now)));
    let load = target.load.map(|(at, load)| ObservedLoad {
        age_ms: now.since(at).saturating_add(load.age_ms),
        ..load
    });
    Some(ReplicaObservation { replica, generation, whole: until.is_some(), age_ms, load })
}

fn target_load(load: ObservedLoad, transit_ms: u64) -> TargetLoad {
    TargetLoad {
        age_ms: load.age_ms.saturating_add(transit_ms),
        running: load.running,
        waiting: load.waiting,
        prefill_tokens_queued: load.prefill_tokens_queued,
        kv_used_permille: load.kv_used_permille,
        tokens_generated: load.tokens_generated,
        adapters_loaded: Vec::new(),
    }
}
