use celeryhaven_types::TimeMs;
use celeryhaven_types::store::{Object, ObjectChange, ObjectKey, ObjectVersion, StoreReply};
use rand::Rng;

use crate::feed::{Feed, FeedUpdate};
use crate::machine::{Spread, SpreadAction};

/// Following the Object API.
impl Spread {
    /// Takes the answer to a [`SpreadAction::Store`].
    pub fn store_reply(
        &mut self,
        now: TimeMs,
        feed: usize,
        reply: StoreReply,
        out: &mut Vec<SpreadAction>,
    ) {
        let retry_ms = self.retry_ms();
        let Some(following) = self.feeds.get_mut(feed) else { return };
        match following.apply_reply(now, reply, retry_ms) {
            FeedUpdate::Nothing => return,
            FeedUpdate::Snapshot { sent_at, version, objects } => {
                self.take_snapshot(feed, version, objects, out);
                self.prove(feed, sent_at);
                self.is_primed |= self.feeds.iter().all(Feed::is_primed);
            }
            FeedUpdate::Changes { sent_at, changes } => {
                for change in changes {
                    self.take(change, out);
                }
                self.prove(feed, sent_at);
            }
        }
        self.read_store(now, out);
    }

    pub(crate) fn read_store(&mut self, now: TimeMs, out: &mut Vec<SpreadAction>) {
        if now < self.follows_store_since() {
            return;
        }
        let active: Vec<usize> = self.active_feeds().collect();
        for feed in active {
            if self.feeds[feed].next_wake().is_some_and(|due| due <= now) {
                let request = self.feeds[feed].request(now, self.settings.watch_wait_ms);
                out.push(SpreadAction::Store { feed, request });
            }
        }
    }

    /// From when this node reads the Object API itself.
    ///
    /// Each waiting watch counts as a call there, so two nodes of each data centre follow it for
    /// the others. A node that gets no evidence through them reads for itself, lest the death of
    /// both relays take a healthy data centre out of service.
    pub(crate) fn follows_store_since(&self) -> TimeMs {
        if self.fleet_view.is_relay {
            return TimeMs::default();
        }
        let proven_at = self.confirmed.at();
        proven_at.unwrap_or(self.started_at).after(self.settings.fallback_ms)
    }

    /// A relay follows every prefix; a node that falls back reads only the vouched one.
    pub(crate) fn active_feeds(&self) -> impl Iterator<Item = usize> {
        let vouched = self.vouched_feed();
        let is_relay = self.fleet_view.is_relay;
        (0..self.feeds.len()).filter(move |feed| is_relay || Some(*feed) == vouched)
    }

    /// Takes a newer version of an object and tells others of it.
    pub(crate) fn take(&mut self, change: ObjectChange, out: &mut Vec<SpreadAction>) -> bool {
        if !self.cache.apply(&change) {
            return false;
        }
        if change.key == self.vouched_key {
            self.agreed.clear();
        }
        self.wanted.remove(&change.key);
        self.announce(&change, out);
        out.push(SpreadAction::Changed(change));
        true
    }

    fn take_snapshot(
        &mut self,
        feed: usize,
        version: ObjectVersion,
        objects: Vec<Object>,
        out: &mut Vec<SpreadAction>,
    ) {
        for key in self.deleted_since(feed, version, &objects) {
            self.take(ObjectChange { key, version, value: None }, out);
        }
        for object in objects {
            let change = ObjectChange {
                key: object.key,
                version: object.version,
                value: Some(object.value),
            };
            self.take(change, out);
        }
    }

    /// Objects held but absent from a listing of a later version of the store.
    fn deleted_since(
        &self,
        feed: usize,
        version: ObjectVersion,
        objects: &[Object],
    ) -> Vec<ObjectKey> {
        let prefix = self.feeds[feed].prefix().as_str();
        let is_listed = |key: &ObjectKey| objects.iter().any(|object| object.key == *key);
        self.cache
            .versions()
            .filter(|(key, held)| key.as_str().starts_with(prefix) && *held < version)
            .filter(|(key, _)| self.cache.value(key).is_some() && !is_listed(key))
            .map(|(key, _)| key.clone())
            .collect()
    }

    fn prove(&mut self, feed: usize, sent_at: TimeMs) {
        if Some(feed) == self.vouched_feed() {
            self.confirmed.prove(sent_at);
        }
    }

    fn vouched_feed(&self) -> Option<usize> {
        let key = self.vouched_key.as_str();
        self.feeds.iter().position(|feed| key.starts_with(feed.prefix().as_str()))
    }

    fn retry_ms(&mut self) -> u64 {
        let base_ms = match self.fleet_view.is_relay {
            true => self.settings.relay_retry_ms,
            false => self.settings.fallback_retry_ms,
        };
        // Jitter, so that all nodes do not come back to a healed store at the same moment.
        base_ms + self.rng.random_range(0..=base_ms / 2)
    }
}
