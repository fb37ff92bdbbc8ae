use celeryhaven_types::{NodeName, TimeMs};
use rand::Rng;
use rand::seq::{IndexedRandom, SliceRandom};

use crate::machine::{Spread, SpreadAction};
use crate::message::SpreadMessage;

/// Answers to questions older than this many periods prove too little to wait for.
const ASK_LIFE_PERIODS: u64 = 4;

/// How much sooner a node asks again that nobody has answered yet.
const FIRST_ASK_HURRY: u64 = 4;

/// Passing of time.
impl Spread {
    /// Asks peers and the Object API what is due.
    pub fn tick(&mut self, now: TimeMs, out: &mut Vec<SpreadAction>) {
        self.read_store(now, out);
        self.want_elsewhere(now, out);
        if now < self.next_ask_at {
            return;
        }
        // A fresh node serves nobody until it is told: a lost message must not cost it a period.
        let hurry = if self.has_been_told { 1 } else { FIRST_ASK_HURRY };
        let period_ms = self.settings.query_period_ms / hurry;
        // A jitter of a tenth keeps 340 nodes that started together from asking together.
        let jitter_ms = self.rng.random_range(0..=period_ms / 10);
        self.next_ask_at = now.after(period_ms - period_ms / 20 + jitter_ms);
        self.asked.retain(|_, (_, at)| {
            now.since(*at) <= ASK_LIFE_PERIODS * self.settings.query_period_ms
        });
        for peer in self.whom_to_ask(now) {
            self.ask(now, peer, out);
        }
    }

    /// A relay of the own data centre; for relays any peer, so that relays hear of each other.
    ///
    /// A node whose evidence grows old asks one more at random: its relays may be dead or cut off.
    fn whom_to_ask(&mut self, now: TimeMs) -> Vec<NodeName> {
        let peers = &self.fleet_view.peers;
        let relays: Vec<_> =
            peers.iter().filter(|peer| peer.in_same_data_centre && peer.is_relay).collect();
        let any: Vec<_> = peers.iter().collect();
        let usual = if self.fleet_view.is_relay || relays.is_empty() { &any } else { &relays };
        let age_ms = self.confirmed.age_ms(now);
        let is_old = age_ms.is_none_or(|age_ms| age_ms > self.settings.fallback_ms);
        let mut chosen: Vec<NodeName> =
            usual.choose(&mut self.rng).map(|peer| peer.node.clone()).into_iter().collect();
        if is_old {
            chosen.extend(self.whom_to_confirm(&chosen));
        }
        chosen
    }

    /// Others that have not agreed yet, as many as an outage asks for, and one in any case.
    ///
    /// Failure: the Object API goes down, and a node whose two relays have agreed has to hear from
    /// a third; asking at random it did not find one before its evidence ran out, and stopped
    /// serving for seconds. Asking those who are missing finds them in one period.
    fn whom_to_confirm(&mut self, chosen: &[NodeName]) -> Vec<NodeName> {
        let peers = self.fleet_view.peers.iter().map(|peer| &peer.node);
        let (missing, agreed): (Vec<_>, Vec<_>) = peers
            .filter(|node| !chosen.contains(node))
            .partition(|node| !self.agreed.contains(*node));
        let wanted = self.settings.confirmations.saturating_sub(self.agreed.len()).max(1);
        let mut from = if missing.is_empty() { agreed } else { missing };
        let chosen = from.partial_shuffle(&mut self.rng, wanted).0;
        chosen.iter().map(|node| (*node).clone()).collect()
    }

    /// Asks another holder for what has not come: the question or the answer was lost.
    fn want_elsewhere(&mut self, now: TimeMs, out: &mut Vec<SpreadAction>) {
        let fetch_timeout_ms = self.settings.fetch_timeout_ms;
        self.wanted.retain(|key, wanted| {
            if now < wanted.until {
                return true;
            }
            let Some(holder) = wanted.holders.pop() else { return false };
            wanted.until = now.after(fetch_timeout_ms);
            let message = SpreadMessage::Want { keys: vec![key.clone()] };
            out.push(SpreadAction::Send { to: holder, message });
            true
        });
    }

    fn ask(&mut self, now: TimeMs, peer: NodeName, out: &mut Vec<SpreadAction>) {
        let ask = self.next_ask;
        self.next_ask = ask.next();
        self.asked.insert(ask, (peer.clone(), now));
        out.push(SpreadAction::Send {
            to: peer,
            message: SpreadMessage::Ask { ask, vouched: self.confirmed_object_version() },
        });
    }
}
