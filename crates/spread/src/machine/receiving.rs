use celeryhaven_types::store::{ObjectChange, ObjectKey, ObjectVersion};
use celeryhaven_types::{NodeName, TimeMs};
use rand::seq::IndexedRandom;

use crate::machine::{PendingFetch, Spread, SpreadAction};
use crate::message::{QueryId, SpreadMessage, Summary};

/// Consecutive summaries with another fingerprint after which all versions are compared; an update
/// in transit causes only one mismatch.
const MISMATCHES_BEFORE_COMPARISON: u64 = 2;

/// Messages from other nodes.
impl Spread {
    /// Processes a message from another node.
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
                self.peer_versions.insert(from.clone(), vouched);
                let summary = self.summary(now);
                send(from, SpreadMessage::Tell { ask, summary }, out);
            }
            SpreadMessage::Tell { ask, summary } => self.apply_answer(now, from, ask, summary, out),
            SpreadMessage::Announce { key, version } => self.fetch(now, from, key, version, out),
            SpreadMessage::Want { keys } => self.send_objects(from, &keys, out),
            SpreadMessage::Objects { changes } => {
                for change in changes {
                    self.apply_change(change, out);
                }
            }
            SpreadMessage::Versions { held } => self.compare_versions(now, from, &held, out),
        }
    }

    /// Announces a new version to `fanout` nodes, mostly in the same data centre.
    ///
    /// Nodes that an announcement does not reach learn of the version with their next query. The
    /// object itself is sent only on request, so each node receives it once.
    pub(crate) fn announce(&mut self, change: &ObjectChange, out: &mut Vec<SpreadAction>) {
        let (local, remote): (Vec<_>, Vec<_>) =
            self.fleet_view.peers.iter().partition(|peer| peer.in_same_data_centre);
        let remote_count = usize::from(!remote.is_empty());
        let local_count = self.settings.fanout.saturating_sub(remote_count).max(1);
        let mut recipients = sample(&local, local_count, &mut self.rng);
        let left = self.settings.fanout.saturating_sub(recipients.len());
        recipients.extend(sample(&remote, left, &mut self.rng));
        let (key, version) = (&change.key, change.version);
        out.extend(recipients.into_iter().map(|to| SpreadAction::Send {
            to,
            message: SpreadMessage::Announce { key: key.clone(), version },
        }));
    }

    fn apply_answer(
        &mut self,
        now: TimeMs,
        from: &NodeName,
        ask: QueryId,
        summary: Summary,
        out: &mut Vec<SpreadAction>,
    ) {
        let Some((queried_peer, sent_at)) = self.pending_queries.remove(&ask) else { return };
        if queried_peer != *from {
            return;
        }
        let own = self.confirmed_object_version();
        if summary.vouched <= own {
            self.agreeing_peers.insert(from.clone());
            self.has_peer_agreement = true;
        }
        if summary.vouched < own {
            let key = self.confirmed_key.clone();
            send(from, SpreadMessage::Announce { key, version: own }, out);
        } else if summary.vouched > own {
            let key = self.confirmed_key.clone();
            self.fetch(now, from, key, summary.vouched, out);
        } else if let Some(age_ms) = summary.proof_age_ms
            && sent_at.get() >= age_ms
        {
            self.last_confirmed.record(TimeMs::new(sent_at.get() - age_ms));
        }
        self.repair(from, summary, out);
    }

    /// Compares all versions with a peer whose fingerprint differs repeatedly.
    fn repair(&mut self, from: &NodeName, summary: Summary, out: &mut Vec<SpreadAction>) {
        if summary.fingerprint == self.cache.fingerprint() {
            self.mismatch_counts.remove(from);
            self.is_primed |= summary.vouched != ObjectVersion::default();
            return;
        }
        let count = self.mismatch_counts.entry(from.clone()).or_default();
        *count += 1;
        if *count >= MISMATCHES_BEFORE_COMPARISON || !self.is_primed {
            self.mismatch_counts.remove(from);
            let held = self.cache.versions().map(|(key, version)| (key.clone(), version));
            send(from, SpreadMessage::Versions { held: held.collect() }, out);
        }
    }

    fn fetch(
        &mut self,
        now: TimeMs,
        from: &NodeName,
        key: ObjectKey,
        version: ObjectVersion,
        out: &mut Vec<SpreadAction>,
    ) {
        let is_current = self.cache.version(&key).is_some_and(|cached| cached >= version);
        if is_current {
            return;
        }
        if let Some(fetch) = self.pending_fetches.get_mut(&key)
            && fetch.version >= version
            && now < fetch.retry_at
        {
            if !fetch.other_holders.contains(from) {
                fetch.other_holders.push(from.clone());
            }
            return;
        }
        let retry_at = now.after(self.settings.fetch_timeout_ms);
        self.pending_fetches
            .insert(key.clone(), PendingFetch { version, retry_at, other_holders: Vec::new() });
        send(from, SpreadMessage::Want { keys: vec![key] }, out);
    }

    fn send_objects(&self, to: &NodeName, keys: &[ObjectKey], out: &mut Vec<SpreadAction>) {
        let changes: Vec<_> = keys.iter().filter_map(|key| self.cache.change(key)).collect();
        if !changes.is_empty() {
            send(to, SpreadMessage::Objects { changes }, out);
        }
    }

    fn compare_versions(
        &mut self,
        now: TimeMs,
        from: &NodeName,
        held: &[(ObjectKey, ObjectVersion)],
        out: &mut Vec<SpreadAction>,
    ) {
        let theirs = |key: &ObjectKey| {
            let index = held.binary_search_by(|(other, _)| other.cmp(key)).ok()?;
            Some(held[index].1)
        };
        let newer_here: Vec<ObjectKey> = self
            .cache
            .versions()
            .filter(|(key, version)| theirs(key).is_none_or(|theirs| theirs < *version))
            .map(|(key, _)| key.clone())
            .collect();
        self.send_objects(from, &newer_here, out);
        for (key, version) in held {
            self.fetch(now, from, key.clone(), *version, out);
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
