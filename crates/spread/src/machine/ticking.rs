use celeryhaven_types::{NodeName, TimeMs};
use rand::Rng;
use rand::seq::{IndexedRandom, SliceRandom};

use crate::machine::{Spread, SpreadAction};
use crate::message::SpreadMessage;

/// Query periods after which a pending query is dropped.
const QUERY_TIMEOUT_PERIODS: u64 = 4;

/// Factor by which a node queries more often until the first peer agrees.
const STARTUP_QUERY_RATE_FACTOR: u64 = 4;

/// Timers.
impl Spread {
    /// Processes timers that are due: calls of the Object API, fetches and queries.
    pub fn tick(&mut self, now: TimeMs, out: &mut Vec<SpreadAction>) {
        self.poll_store(now, out);
        self.retry_fetches(now, out);
        if now < self.next_query_at {
            return;
        }
        // A new node does not serve before a peer agrees, so a lost message must not cost a period.
        let rate_factor = if self.has_peer_agreement { 1 } else { STARTUP_QUERY_RATE_FACTOR };
        let period_ms = self.settings.query_period_ms / rate_factor;
        // Avoids a synchronized burst of queries from nodes that started together.
        let jitter_ms = self.rng.random_range(0..=period_ms / 10);
        self.next_query_at = now.after(period_ms - period_ms / 20 + jitter_ms);
        self.pending_queries.retain(|_, (_, at)| {
            now.since(*at) <= QUERY_TIMEOUT_PERIODS * self.settings.query_period_ms
        });
        for peer in self.select_query_peers(now) {
            self.send_query(now, peer, out);
        }
    }

    /// Selects a relay of the same data centre; for a relay any peer, so that updates pass between
    /// relays.
    ///
    /// A node whose last confirmation is old also queries other peers, since its relays may be
    /// unreachable.
    fn select_query_peers(&mut self, now: TimeMs) -> Vec<NodeName> {
        let peers = &self.fleet_view.peers;
        let relays: Vec<_> =
            peers.iter().filter(|peer| peer.in_same_data_centre && peer.is_relay).collect();
        let any: Vec<_> = peers.iter().collect();
        let candidates = if self.fleet_view.is_relay || relays.is_empty() { &any } else { &relays };
        let age_ms = self.last_confirmed.age_ms(now);
        let is_stale = age_ms.is_none_or(|age_ms| age_ms > self.settings.fallback_ms);
        let mut chosen: Vec<NodeName> =
            candidates.choose(&mut self.rng).map(|peer| peer.node.clone()).into_iter().collect();
        if is_stale {
            chosen.extend(self.select_confirming_peers(&chosen));
        }
        chosen
    }

    /// Selects peers that have not agreed yet: as many as are missing for a confirmation during an
    /// outage, and at least one.
    ///
    /// Random selection among all peers can fail to reach the required number before the last
    /// confirmation expires, which takes a healthy node out of service.
    fn select_confirming_peers(&mut self, chosen: &[NodeName]) -> Vec<NodeName> {
        let peers = self.fleet_view.peers.iter().map(|peer| &peer.node);
        let (missing, agreeing): (Vec<_>, Vec<_>) = peers
            .filter(|node| !chosen.contains(node))
            .partition(|node| !self.agreeing_peers.contains(*node));
        let count = self.settings.confirmations.saturating_sub(self.agreeing_peers.len()).max(1);
        let mut from = if missing.is_empty() { agreeing } else { missing };
        let chosen = from.partial_shuffle(&mut self.rng, count).0;
        chosen.iter().map(|node| (*node).clone()).collect()
    }

    /// Requests objects that have not arrived in time from another node that announced them.
    fn retry_fetches(&mut self, now: TimeMs, out: &mut Vec<SpreadAction>) {
        let fetch_timeout_ms = self.settings.fetch_timeout_ms;
        self.pending_fetches.retain(|key, fetch| {
            if now < fetch.retry_at {
                return true;
            }
            let Some(holder) = fetch.other_holders.pop() else { return false };
            fetch.retry_at = now.after(fetch_timeout_ms);
            let message = SpreadMessage::Want { keys: vec![key.clone()] };
            out.push(SpreadAction::Send { to: holder, message });
            true
        });
    }

    fn send_query(&mut self, now: TimeMs, peer: NodeName, out: &mut Vec<SpreadAction>) {
        let query = self.next_query;
        self.next_query = query.next();
        self.pending_queries.insert(query, (peer.clone(), now));
        out.push(SpreadAction::Send {
            to: peer,
            message: SpreadMessage::Ask { ask: query, vouched: self.confirmed_object_version() },
        });
    }
}
