use std::sync::Arc;

use celeryhaven_types::{Map, NodeName, ServiceName, TimeMs};
use rand::Rng;

use crate::Peer;

/// Time for which a peer is not asked again for a service that it does not reach, in milliseconds.
const AVOID_MS: u64 = 500;

/// The peers of a node, and the requests that it has delegated to each.
///
/// Each request goes to the less loaded of two peers drawn at random: many isolated nodes spread
/// their callers over all peers, whatever data centre they are in.
#[derive(Clone, Debug, Default)]
pub struct PeerSet {
    peers: Arc<[Peer]>,
    running: Map<NodeName, u32>,
    avoided_until: Map<(NodeName, ServiceName), TimeMs>,
}

impl PeerSet {
    /// Creates an empty set.
    pub fn new() -> Self {
        Self::default()
    }

    /// Replaces the peers.
    pub fn set_peers(&mut self, peers: Arc<[Peer]>) {
        self.peers = peers;
    }

    /// Chooses a peer for a request of a service; `tried` are those that have refused it.
    ///
    /// Returns `None` if there is no other peer that may reach the service.
    pub fn choose(
        &self,
        now: TimeMs,
        service: &ServiceName,
        tried: &[NodeName],
        rng: &mut impl Rng,
    ) -> Option<&Peer> {
        let peers = self.peers.iter().filter(|peer| self.may_reach(now, peer, service));
        let candidates: Vec<&Peer> = peers.filter(|peer| !tried.contains(&peer.node)).collect();
        if candidates.is_empty() {
            return None;
        }
        let mut draw = || candidates[rng.random_range(0..candidates.len())];
        let (first, second) = (draw(), draw());
        Some(if self.running(second) < self.running(first) { second } else { first })
    }

    /// Whether a peer may reach a service.
    pub fn has_candidate(&self, now: TimeMs, service: &ServiceName) -> bool {
        self.peers.iter().any(|peer| self.may_reach(now, peer, service))
    }

    /// Records a request that was sent to a peer.
    pub fn sent(&mut self, node: &NodeName) {
        *self.running.entry(node.clone()).or_default() += 1;
    }

    /// Records that a request at a peer has ended.
    pub fn ended(&mut self, node: &NodeName) {
        if let Some(running) = self.running.get_mut(node) {
            *running = running.saturating_sub(1);
            if *running == 0 {
                self.running.remove(node);
            }
        }
    }

    /// Avoids a peer that does not reach a service, for a while.
    pub fn avoid(&mut self, now: TimeMs, node: &NodeName, service: &ServiceName) {
        self.avoided_until.retain(|_, until| *until > now);
        self.avoided_until.insert((node.clone(), service.clone()), now.after(AVOID_MS));
    }

    fn may_reach(&self, now: TimeMs, peer: &Peer, service: &ServiceName) -> bool {
        let avoided_until = self.avoided_until.get(&(peer.node.clone(), service.clone()));
        !peer.is_isolated && avoided_until.is_none_or(|until| *until <= now)
    }

    fn running(&self, peer: &Peer) -> u32 {
        self.running.get(&peer.node).copied().unwrap_or(0)
    }
}
