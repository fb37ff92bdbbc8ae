use celeryhaven_types::TimeMs;
use celeryhaven_types::store::{Object, ObjectChange, ObjectKey, ObjectVersion, StoreReply};
use rand::Rng;

use crate::feed::{Feed, FeedUpdate};
use crate::machine::{Spread, SpreadAction};

/// Calls of the Object API.
impl Spread {
    /// Applies the answer to a [`SpreadAction::Store`].
    pub fn store_reply(
        &mut self,
        now: TimeMs,
        feed: usize,
        reply: StoreReply,
        out: &mut Vec<SpreadAction>,
    ) {
        let retry_ms = self.retry_ms();
        let Some(follower) = self.feeds.get_mut(feed) else { return };
        match follower.apply_reply(now, reply, retry_ms) {
            FeedUpdate::Nothing => return,
            FeedUpdate::Snapshot { sent_at, version, objects } => {
                self.apply_snapshot(feed, version, objects, out);
                self.record_confirmation(feed, sent_at);
                self.is_primed |= self.feeds.iter().all(Feed::is_primed);
            }
            FeedUpdate::Changes { sent_at, changes } => {
                for change in changes {
                    self.apply_change(change, out);
                }
                self.record_confirmation(feed, sent_at);
            }
        }
        self.poll_store(now, out);
    }

    pub(crate) fn poll_store(&mut self, now: TimeMs, out: &mut Vec<SpreadAction>) {
        if now < self.store_reads_from() {
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

    /// Returns from when this node calls the Object API itself.
    ///
    /// Only relays call it in normal operation, which limits the number of watches. Other nodes
    /// fall back to calls of their own, so that the failure of all relays does not take a healthy
    /// data centre out of service.
    pub(crate) fn store_reads_from(&self) -> TimeMs {
        if self.fleet_view.is_relay {
            return TimeMs::default();
        }
        let confirmed_at = self.last_confirmed.at();
        confirmed_at.unwrap_or(self.started_at).after(self.settings.fallback_ms)
    }

    /// Returns the feeds to follow: all for a relay, only that of the confirmed object otherwise.
    pub(crate) fn active_feeds(&self) -> impl Iterator<Item = usize> {
        let confirmed = self.confirmed_feed();
        let is_relay = self.fleet_view.is_relay;
        (0..self.feeds.len()).filter(move |feed| is_relay || Some(*feed) == confirmed)
    }

    /// Applies and announces a change if it is newer; returns whether it was.
    pub(crate) fn apply_change(
        &mut self,
        change: ObjectChange,
        out: &mut Vec<SpreadAction>,
    ) -> bool {
        if !self.cache.apply(&change) {
            return false;
        }
        if change.key == self.confirmed_key {
            self.agreeing_peers.clear();
        }
        self.pending_fetches.remove(&change.key);
        self.announce(&change, out);
        out.push(SpreadAction::Changed(change));
        true
    }

    fn apply_snapshot(
        &mut self,
        feed: usize,
        version: ObjectVersion,
        objects: Vec<Object>,
        out: &mut Vec<SpreadAction>,
    ) {
        for key in self.deleted_since(feed, version, &objects) {
            self.apply_change(ObjectChange { key, version, value: None }, out);
        }
        for object in objects {
            let change = ObjectChange {
                key: object.key,
                version: object.version,
                value: Some(object.value),
            };
            self.apply_change(change, out);
        }
    }

    /// Returns the cached objects that are absent from a listing of a later version of the store.
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
            .filter(|(key, cached)| key.as_str().starts_with(prefix) && *cached < version)
            .filter(|(key, _)| self.cache.value(key).is_some() && !is_listed(key))
            .map(|(key, _)| key.clone())
            .collect()
    }

    fn record_confirmation(&mut self, feed: usize, sent_at: TimeMs) {
        if Some(feed) == self.confirmed_feed() {
            self.last_confirmed.record(sent_at);
        }
    }

    fn confirmed_feed(&self) -> Option<usize> {
        let key = self.confirmed_key.as_str();
        self.feeds.iter().position(|feed| key.starts_with(feed.prefix().as_str()))
    }

    fn retry_ms(&mut self) -> u64 {
        let base_ms = match self.fleet_view.is_relay {
            true => self.settings.relay_retry_ms,
            false => self.settings.fallback_retry_ms,
        };
        // Avoids a synchronized burst of calls when the store recovers.
        base_ms + self.rng.random_range(0..=base_ms / 2)
    }
}
