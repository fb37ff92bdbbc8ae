use celeryhaven_types::{Map, TimeMs};

use crate::traffic::RoutableName;

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
#[derive(Clone, Debug, Default)]
pub(crate) struct Progress {
    replicas: Map<RoutableName, Streams>,
    suspected: Map<RoutableName, TimeMs>,
}

#[derive(Clone, Copy, Debug)]
struct Streams {
    open: u32,
    last_event_at: TimeMs,
}

impl Progress {
    /// A stream has begun to give events.
    pub(crate) fn begun(&mut self, now: TimeMs, name: &RoutableName) {
        let fresh = Streams { open: 0, last_event_at: now };
        let streams = self.replicas.entry(name.clone()).or_insert(fresh);
        streams.open += 1;
        streams.last_event_at = now;
    }

    /// An event has come.
    pub(crate) fn event(&mut self, now: TimeMs, name: &RoutableName) {
        if let Some(streams) = self.replicas.get_mut(name) {
            streams.last_event_at = now;
        }
        self.suspected.remove(name);
    }

    /// A stream that had begun is over.
    pub(crate) fn ended(&mut self, name: &RoutableName) {
        if let Some(streams) = self.replicas.get_mut(name) {
            streams.open = streams.open.saturating_sub(1);
            if streams.open == 0 {
                self.replicas.remove(name);
            }
        }
    }

    /// Replicas whose streams stand still, each named once for a while.
    pub(crate) fn still(&mut self, now: TimeMs) -> Vec<RoutableName> {
        self.suspected.retain(|_, until| *until > now);
        let still = self.replicas.iter().filter(|(name, streams)| {
            now.since(streams.last_event_at) >= STILL_MS && !self.suspected.contains_key(*name)
        });
        let still: Vec<_> = still.map(|(name, _)| name.clone()).collect();
        still.iter().for_each(|name| self.suspect(now, name));
        still
    }

    /// Keeps requests away from a replica for a while.
    pub(crate) fn suspect(&mut self, now: TimeMs, name: &RoutableName) {
        self.suspected.insert(name.clone(), now.after(SUSPECTED_MS));
    }

    /// Whether a replica gets no requests for now.
    pub(crate) fn is_suspected(&self, now: TimeMs, name: &RoutableName) -> bool {
        self.suspected.get(name).is_some_and(|&until| until > now)
    }
}
