use std::hash::Hash;

use celeryhaven_types::{Map, TimeMs};

/// Time without an event from any stream of a replica after which it is suspected.
///
/// A full batch with long prompts may pause for up to 200 ms between events. A replica that has
/// lost a member gives none until its head notices, seconds later.
const STALL_TIMEOUT_MS: u64 = 600;

/// Time without an event from any stream of a replica after which it may be silent.
const QUIET_MS: u64 = 250;

/// Time for which a suspected replica receives no requests.
///
/// The coordinator finds a lost member within half a second and dissolves the replica; one that was
/// suspected wrongly serves again after this time, or with its next event.
const SUSPICION_MS: u64 = 2_500;

/// Detects replicas whose streams have all stopped producing events.
///
/// A replica that has lost a member may stalled accept requests that it can't answer. Its open
/// streams stop together, which shows the failure before the coordinator reports it.
///
/// ```
/// use celeryhaven_policy::StallDetector;
/// use celeryhaven_types::TimeMs;
/// let mut detector = StallDetector::new();
/// detector.stream_started(TimeMs::new(0), &"replica");
/// detector.event_received(TimeMs::new(100), &"replica");
/// assert!(detector.detect_stalled(TimeMs::new(500), |_| true).is_empty());
/// assert_eq!(detector.detect_stalled(TimeMs::new(900), |_| true), ["replica"]);
/// assert!(detector.is_suspected(TimeMs::new(900), &"replica"));
/// ```
#[derive(Clone, Debug)]
pub struct StallDetector<K> {
    replicas: Map<K, Streams>,
    suspected: Map<K, Suspicion>,
    /// Whether the set of suspected replicas changed since the last `take_changed`.
    changed: bool,
}

impl<K> Default for StallDetector<K> {
    fn default() -> Self {
        Self { replicas: Map::default(), suspected: Map::default(), changed: false }
    }
}

#[derive(Clone, Copy, Debug)]
struct Suspicion {
    expires_at: TimeMs,
    /// Whether the replica is silent, rather than refusing new requests.
    is_stalled: bool,
}

#[derive(Clone, Copy, Debug)]
struct Streams {
    open: u32,
    last_event_at: TimeMs,
}

impl<K: Clone + Eq + Hash + Ord> StallDetector<K> {
    /// Creates a detector without streams.
    pub fn new() -> Self {
        Self::default()
    }

    /// Records that a stream of a replica has produced its first event.
    pub fn stream_started(&mut self, now: TimeMs, name: &K) {
        let initial = Streams { open: 0, last_event_at: now };
        let streams = self.replicas.entry(name.clone()).or_insert(initial);
        streams.open += 1;
        streams.last_event_at = now;
    }

    /// Records a further event of a stream, which clears a suspicion of its replica.
    pub fn event_received(&mut self, now: TimeMs, name: &K) {
        if let Some(streams) = self.replicas.get_mut(name) {
            streams.last_event_at = now;
        }
        self.changed |= self.suspected.remove(name).is_some();
    }

    /// Records that a stream has finished.
    pub fn stream_finished(&mut self, name: &K) {
        if let Some(streams) = self.replicas.get_mut(name) {
            streams.open = streams.open.saturating_sub(1);
            if streams.open == 0 {
                self.replicas.remove(name);
            }
        }
    }

    /// Returns the stalled replicas that are not suspected yet and that match, in order, and suspects
    /// them.
    pub fn detect_stalled(&mut self, now: TimeMs, matches: impl Fn(&K) -> bool) -> Vec<K> {
        let before = self.suspected.len();
        self.suspected.retain(|_, suspicion| suspicion.expires_at > now);
        self.changed |= self.suspected.len() != before;
        let stalled = self.replicas.iter().filter(|(name, streams)| {
            now.since(streams.last_event_at) >= STALL_TIMEOUT_MS
                && !self.suspected.contains_key(*name)
                && matches(name)
        });
        let mut stalled: Vec<_> = stalled.map(|(name, _)| name.clone()).collect();
        stalled.sort();
        stalled.iter().for_each(|name| self.suspect_stalled(now, name));
        stalled
    }

    /// Suspects a replica that refuses requests, so that it receives none for a while.
    pub fn suspect(&mut self, now: TimeMs, name: &K) {
        let is_stalled = self.is_stalled(now, name);
        self.suspect_until(now.after(SUSPICION_MS), name, is_stalled);
    }

    /// Suspects a replica that is silent, so that it receives no requests for a while.
    pub fn suspect_stalled(&mut self, now: TimeMs, name: &K) {
        self.suspect_until(now.after(SUSPICION_MS), name, true);
    }

    fn suspect_until(&mut self, expires_at: TimeMs, name: &K, is_stalled: bool) {
        let suspicion = Suspicion { expires_at, is_stalled };
        self.changed |= self.suspected.insert(name.clone(), suspicion).is_none();
    }

    /// Returns the replicas whose streams have given nothing for longer than between two events of a
    /// full batch: they may be silent.
    pub fn quiet(&self, now: TimeMs) -> impl Iterator<Item = &K> {
        let replicas = self.replicas.iter();
        let quiet = replicas.filter(move |(_, at)| now.since(at.last_event_at) >= QUIET_MS);
        quiet.map(|(name, _)| name)
    }

    /// Returns the replicas that are suspected because they are silent, in order.
    pub fn stalled(&self) -> Vec<K> {
        let stalled = self.suspected.iter().filter(|(_, suspicion)| suspicion.is_stalled);
        let mut stalled: Vec<_> = stalled.map(|(name, _)| name.clone()).collect();
        stalled.sort();
        stalled
    }

    /// Whether a replica is suspected because it is silent.
    pub fn is_stalled(&self, now: TimeMs, name: &K) -> bool {
        let suspicion = self.suspected.get(name).filter(|suspicion| suspicion.expires_at > now);
        suspicion.is_some_and(|suspicion| suspicion.is_stalled)
    }

    /// Clears all suspicions, and lets streams be silent as long again.
    pub fn clear_suspicions(&mut self, now: TimeMs) {
        self.changed |= !self.suspected.is_empty();
        self.suspected.clear();
        self.replicas.values_mut().for_each(|streams| streams.last_event_at = now);
    }

    /// Returns whether the set of suspected replicas changed since the last call.
    pub fn take_changed(&mut self) -> bool {
        std::mem::take(&mut self.changed)
    }

    /// Whether a replica is suspected and receives no requests.
    pub fn is_suspected(&self, now: TimeMs, name: &K) -> bool {
        self.suspected.get(name).is_some_and(|suspicion| suspicion.expires_at > now)
    }
}
