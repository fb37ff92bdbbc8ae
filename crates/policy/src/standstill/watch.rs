use std::hash::Hash;

use celeryhaven_types::{Map, TimeMs};

/// How long all streams of a replica may stand still together before it is suspected, in
/// milliseconds.
///
/// A full batch with long prompts between its tokens gives an event each 100 to 200 ms; a replica
/// that has lost a member gives none until its head notices, seconds later.
const STILL_MS: u64 = 600;

/// How long a suspected replica gets no requests, in milliseconds.
///
/// Its decider finds a lost member within half a second and takes the replica apart; one that was
/// suspected wrongly serves again after this.
const SUSPECTED_MS: u64 = 2_500;

/// Signs of life of the replicas that this node has streams at.
///
/// Load: a replica that loses a member while its head goes on taking requests. Harm: for seconds
/// everything sent there waits until its callers give up. The streams that it already gives fall
/// silent together, which costs nothing to see.
///
/// ```
/// use celeryhaven_policy::StandstillWatch;
/// use celeryhaven_types::TimeMs;
/// let mut watch = StandstillWatch::new();
/// watch.begun(TimeMs::new(0), &"replica");
/// watch.event(TimeMs::new(100), &"replica");
/// assert!(watch.still(TimeMs::new(500)).is_empty());
/// assert_eq!(watch.still(TimeMs::new(900)), ["replica"]);
/// assert!(watch.is_suspected(TimeMs::new(900), &"replica"));
/// ```
#[derive(Clone, Debug)]
pub struct StandstillWatch<K> {
    replicas: Map<K, Streams>,
    suspected: Map<K, TimeMs>,
    /// Whether other replicas are suspected than when that was asked last.
    changed: bool,
}

impl<K> Default for StandstillWatch<K> {
    fn default() -> Self {
        Self { replicas: Map::default(), suspected: Map::default(), changed: false }
    }
}

#[derive(Clone, Copy, Debug)]
struct Streams {
    open: u32,
    last_event_at: TimeMs,
}

impl<K: Clone + Eq + Hash + Ord> StandstillWatch<K> {
    /// Watches nothing yet.
    pub fn new() -> Self {
        Self::default()
    }

    /// A stream has begun to give events.
    pub fn begun(&mut self, now: TimeMs, name: &K) {
        let fresh = Streams { open: 0, last_event_at: now };
        let streams = self.replicas.entry(name.clone()).or_insert(fresh);
        streams.open += 1;
        streams.last_event_at = now;
    }

    /// An event has come.
    pub fn event(&mut self, now: TimeMs, name: &K) {
        if let Some(streams) = self.replicas.get_mut(name) {
            streams.last_event_at = now;
        }
        self.changed |= self.suspected.remove(name).is_some();
    }

    /// A stream that had begun is over.
    pub fn ended(&mut self, name: &K) {
        if let Some(streams) = self.replicas.get_mut(name) {
            streams.open = streams.open.saturating_sub(1);
            if streams.open == 0 {
                self.replicas.remove(name);
            }
        }
    }

    /// Replicas whose streams stand still, each named once for a while.
    pub fn still(&mut self, now: TimeMs) -> Vec<K> {
        let before = self.suspected.len();
        self.suspected.retain(|_, until| *until > now);
        self.changed |= self.suspected.len() != before;
        let still = self.replicas.iter().filter(|(name, streams)| {
            now.since(streams.last_event_at) >= STILL_MS && !self.suspected.contains_key(*name)
        });
        let mut still: Vec<_> = still.map(|(name, _)| name.clone()).collect();
        still.sort();
        still.iter().for_each(|name| self.suspect(now, name));
        still
    }

    /// Keeps requests away from a replica for a while.
    pub fn suspect(&mut self, now: TimeMs, name: &K) {
        self.changed |= self.suspected.insert(name.clone(), now.after(SUSPECTED_MS)).is_none();
    }

    /// Whether other replicas are suspected than when this was asked last.
    pub fn take_changed(&mut self) -> bool {
        std::mem::take(&mut self.changed)
    }

    /// Whether a replica gets no requests for now.
    pub fn is_suspected(&self, now: TimeMs, name: &K) -> bool {
        self.suspected.get(name).is_some_and(|&until| until > now)
    }
}
