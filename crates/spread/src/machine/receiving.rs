use celeryhaven_types::store::{ObjectChange, ObjectKey, ObjectVersion};
use celeryhaven_types::{NodeName, TimeMs};
use rand::seq::IndexedRandom;

use crate::machine::{Spread, SpreadAction, Wanted};
use crate::message::{QueryId, SpreadMessage, Summary};

/// Answers in a row that differ before all versions are compared: news on its way differs once.
const DIFFERING_BEFORE_COMPARE: u64 = 2;

/// Messages of other nodes.
impl Spread {
    /// Takes a message of another node.
    pub fn receive_message(
        &mut self,
        now: TimeMs,
        from: &NodeName,
        message: SpreadMessage,
        out: &mut Vec<SpreadAction>,
    ) {
        self.last_contact = Some(now);
        match message {
            SpreadMessage::Ask { ask, vouched } => {
                self.held_by_others.insert(from.clone(), vouched);
                let summary = self.summary(now);
                send(from, SpreadMessage::Tell { ask, summary }, out);
            }
            SpreadMessage::Tell { ask, summary } => self.told(now, from, ask, summary, out),
            SpreadMessage::Announce { key, version } => self.want(now, from, key, version, out),
            SpreadMessage::Want { keys } => self.bring(from, &keys, out),
            SpreadMessage::Objects { changes } => {
                for change in changes {
                    self.take(change, out);
                }
            }
            SpreadMessage::Versions { held } => self.compare(now, from, &held, out),
        }
    }

    /// Tells a few nodes of a new version, mostly of the own data centre.
    ///
    /// Each node that learns of it tells `fanout` others, so the news doubles its reach in each
    /// delay; whoever is missed hears of it at the next question. The object itself is sent only
    /// to those who ask, so a node gets it once.
    pub(crate) fn announce(&mut self, change: &ObjectChange, out: &mut Vec<SpreadAction>) {
        let (near, far): (Vec<_>, Vec<_>) =
            self.fleet_view.peers.iter().partition(|peer| peer.in_same_data_centre);
        let far_count = usize::from(!far.is_empty());
        let near_count = self.settings.fanout.saturating_sub(far_count).max(1);
        let mut told = sample(&near, near_count, &mut self.rng);
        let left = self.settings.fanout.saturating_sub(told.len());
        told.extend(sample(&far, left, &mut self.rng));
        let (key, version) = (&change.key, change.version);
        out.extend(told.into_iter().map(|to| SpreadAction::Send {
            to,
            message: SpreadMessage::Announce { key: key.clone(), version },
        }));
    }

    fn told(
        &mut self,
        now: TimeMs,
        from: &NodeName,
        ask: QueryId,
        summary: Summary,
        out: &mut Vec<SpreadAction>,
    ) {
        let Some((asked, asked_at)) = self.asked.remove(&ask) else { return };
        if asked != *from {
            return;
        }
        let own = self.confirmed_object_version();
        if summary.vouched <= own {
            self.agreed.insert(from.clone());
            self.has_been_told = true;
        }
        if summary.vouched < own {
            let key = self.vouched_key.clone();
            send(from, SpreadMessage::Announce { key, version: own }, out);
        } else if summary.vouched > own {
            let key = self.vouched_key.clone();
            self.want(now, from, key, summary.vouched, out);
        } else if let Some(age_ms) = summary.proof_age_ms
            && asked_at.get() >= age_ms
        {
            self.confirmed.prove(TimeMs::new(asked_at.get() - age_ms));
        }
        self.repair(from, summary, out);
    }

    /// Compares all versions with a peer whose shelf has differed for a while.
    fn repair(&mut self, from: &NodeName, summary: Summary, out: &mut Vec<SpreadAction>) {
        if summary.fingerprint == self.cache.fingerprint() {
            self.differing.remove(from);
            self.is_primed |= summary.vouched != ObjectVersion::default();
            return;
        }
        let count = self.differing.entry(from.clone()).or_default();
        *count += 1;
        if *count >= DIFFERING_BEFORE_COMPARE || !self.is_primed {
            self.differing.remove(from);
            let held = self.cache.versions().map(|(key, version)| (key.clone(), version));
            send(from, SpreadMessage::Versions { held: held.collect() }, out);
        }
    }

    fn want(
        &mut self,
        now: TimeMs,
        from: &NodeName,
        key: ObjectKey,
        version: ObjectVersion,
        out: &mut Vec<SpreadAction>,
    ) {
        let is_held = self.cache.version(&key).is_some_and(|held| held >= version);
        if is_held {
            return;
        }
        if let Some(wanted) = self.wanted.get_mut(&key)
            && wanted.version >= version
            && now < wanted.until
        {
            if !wanted.holders.contains(from) {
                wanted.holders.push(from.clone());
            }
            return;
        }
        let until = now.after(self.settings.fetch_timeout_ms);
        self.wanted.insert(key.clone(), Wanted { version, until, holders: Vec::new() });
        send(from, SpreadMessage::Want { keys: vec![key] }, out);
    }

    fn bring(&self, to: &NodeName, keys: &[ObjectKey], out: &mut Vec<SpreadAction>) {
        let changes: Vec<_> = keys.iter().filter_map(|key| self.cache.change(key)).collect();
        if !changes.is_empty() {
            send(to, SpreadMessage::Objects { changes }, out);
        }
    }

    fn compare(
        &mut self,
        now: TimeMs,
        from: &NodeName,
        held: &[(ObjectKey, ObjectVersion)],
        out: &mut Vec<SpreadAction>,
    ) {
        let theirs = |key: &ObjectKey| {
            let place = held.binary_search_by(|(other, _)| other.cmp(key)).ok()?;
            Some(held[place].1)
        };
        let newer_here: Vec<ObjectKey> = self
            .cache
            .versions()
            .filter(|(key, version)| theirs(key).is_none_or(|theirs| theirs < *version))
            .map(|(key, _)| key.clone())
            .collect();
        self.bring(from, &newer_here, out);
        for (key, version) in held {
            self.want(now, from, key.clone(), *version, out);
        }
    }
}

fn send(to: &NodeName, message: SpreadMessage, out: &mut Vec<SpreadAction>) {
    out.push(SpreadAction::Send { to: to.clone(), message });
}

fn sample(
    peers: &[&crate::machine::SpreadPeer],
    count: usize,
    rng: &mut rand::rngs::SmallRng,
) -> Vec<NodeName> {
    let mut left: Vec<_> = peers.to_vec();
    let mut chosen = Vec::new();
    while chosen.len() < count
        && let Some(peer) = left.choose(rng).copied()
    {
        chosen.push(peer.node.clone());
        left.retain(|other| other.node != peer.node);
    }
    chosen
}
