use std::hash::Hash;

use celeryhaven_types::{Map, TimeMs};

use crate::stall::pass_times::PassTimes;
use crate::stall::{PassProfile, QuietReplica};

/// Time without an event from any stream of a replica after which it is suspected.
///
/// A full batch with long prompts may pause for up to 200 ms between events. A replica that has
/// lost a member gives none until its head notices, seconds later.
const STALL_TIMEOUT_MS: u64 = 600;

/// Time without an event from any stream of a replica after which it may be silent; the longest
/// threshold of replicas whose passes are known.
const QUIET_MS: u64 = 250;

/// Time for which a suspected replica receives no requests.
///
/// The coordinator finds a lost member within half a second and dissolves the replica; one that was
/// suspected wrongly serves again after this time, or with its next event.
const SUSPICION_MS: u64 = 2_500;

/// Time for which a quiet replica whose streams have all gone on elsewhere receives no requests after
/// it was suspected: nothing has shown whether it is lost or was only slow.
const UNWATCHED_SUSPICION_MS: u64 = 500;

/// Time for which the silence that a peer has found counts, unless there is an event.
const TOLD_MS: u64 = 1_000;

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
    /// Times of the passes of replicas, also while no stream is open.
    passes: Map<K, PassTimes>,
    /// Whether the set of suspected replicas changed since the last `take_changed`.
    changed: bool,
}

impl<K> Default for StallDetector<K> {
    fn default() -> Self {
        Self {
            replicas: Map::default(),
            suspected: Map::default(),
            passes: Map::default(),
            changed: false,
        }
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
    /// Whether it gives no events for longer than a pass can take.
    is_quiet: bool,
}

impl<K: Clone + Eq + Hash + Ord> StallDetector<K> {
    /// Creates a detector without streams.
    pub fn new() -> Self {
        Self::default()
    }

    /// Sets the times of the passes of a replica, which lets it be found quiet.
    pub fn set_profile(&mut self, name: &K, profile: PassProfile) {
        match self.passes.get_mut(name) {
            Some(passes) => passes.set_profile(profile),
            None => {
                self.passes.insert(name.clone(), PassTimes::new(profile));
            }
        }
    }

    /// Forgets the passes of the replicas that do not match.
    pub fn retain_passes(&mut self, matches: impl Fn(&K) -> bool) {
        let replicas = &self.replicas;
        self.passes.retain(|name, _| replicas.contains_key(name) || matches(name));
    }

    /// Records that a stream of a replica has produced its first event; returns whether the replica
    /// was quiet.
    pub fn stream_started(&mut self, now: TimeMs, name: &K) -> bool {
        let initial = Streams { open: 0, last_event_at: now, is_quiet: false };
        let streams = self.replicas.entry(name.clone()).or_insert(initial);
        streams.open += 1;
        let is_first = streams.open == 1;
        Self::record_event(streams, now, self.passes.get_mut(name).filter(|_| !is_first))
    }

    /// Records a further event of a stream, which clears a suspicion of its replica; returns whether
    /// the replica was quiet.
    pub fn event_received(&mut self, now: TimeMs, name: &K) -> bool {
        self.changed |= self.suspected.remove(name).is_some();
        match self.replicas.get_mut(name) {
            Some(streams) => Self::record_event(streams, now, self.passes.get_mut(name)),
            None => false,
        }
    }

    fn record_event(streams: &mut Streams, now: TimeMs, passes: Option<&mut PassTimes>) -> bool {
        if let Some(passes) = passes {
            passes.record_gap(now.since(streams.last_event_at));
            passes.set_told_until(None);
        }
        streams.last_event_at = now;
        std::mem::take(&mut streams.is_quiet)
    }

    /// Records that a stream has finished.
    ///
    /// A quiet replica is still watched if this was its last stream: streams that go on elsewhere must
    /// not hide that it has stalled.
    pub fn stream_finished(&mut self, name: &K) {
        if let Some(streams) = self.replicas.get_mut(name) {
            streams.open = streams.open.saturating_sub(1);
            if streams.open == 0 && !streams.is_quiet {
                self.replicas.remove(name);
            }
        }
    }

    /// Returns the replicas that match and have become quiet since the last call, in order.
    pub fn detect_quiet(
        &mut self,
        now: TimeMs,
        matches: impl Fn(&K) -> bool,
    ) -> Vec<QuietReplica<K>> {
        let mut found = Vec::new();
        for (name, streams) in &mut self.replicas {
            let Some(passes) = self.passes.get(name) else { continue };
            let silent_ms = now.since(streams.last_event_at);
            let threshold_ms = passes.threshold_ms(now, QUIET_MS);
            let is_due = !streams.is_quiet && silent_ms >= threshold_ms;
            if is_due && !self.suspected.contains_key(name) && matches(name) {
                streams.is_quiet = true;
                let (name, is_told) = (name.clone(), passes.is_told(now));
                found.push(QuietReplica { name, silent_ms, threshold_ms, is_told });
            }
        }
        found.sort_by(|left, right| left.name.cmp(&right.name));
        found
    }

    /// Whether a replica has been found quiet and has had no event since.
    pub fn is_quiet(&self, name: &K) -> bool {
        self.replicas.get(name).is_some_and(|streams| streams.is_quiet)
    }

    /// Returns the replicas that have been found quiet, in order.
    pub fn found_quiet(&self) -> Vec<K> {
        let quiet = self.replicas.iter().filter(|(_, streams)| streams.is_quiet);
        let mut quiet: Vec<_> = quiet.map(|(name, _)| name.clone()).collect();
        quiet.sort();
        quiet
    }

    /// Returns when the next replica becomes quiet unless it has an event before.
    pub fn next_quiet_at(&self, now: TimeMs) -> Option<TimeMs> {
        let watched = self.replicas.iter().filter(|(_, streams)| !streams.is_quiet);
        let due = watched.filter(|(name, _)| !self.suspected.contains_key(*name));
        let due = due.filter_map(|(name, streams)| {
            let passes = self.passes.get(name)?;
            Some(streams.last_event_at.after(passes.threshold_ms(now, QUIET_MS)))
        });
        due.min()
    }

    /// Returns when a stream at a quiet replica must get a second attempt, so that its pause stays
    /// within the bound; `None` if the replica is not quiet.
    pub fn second_due_at(&self, name: &K, pause_max_ms: u64) -> Option<TimeMs> {
        let streams = self.replicas.get(name).filter(|streams| streams.is_quiet)?;
        let second_ms = self.passes.get(name)?.profile().second_attempt_ms().ceil() as u64;
        Some(streams.last_event_at.after(pause_max_ms.saturating_sub(second_ms)))
    }

    /// Records that a second attempt was in vain: a stream of the replica has gone on first.
    pub fn record_vain(&mut self, now: TimeMs, name: &K) {
        if let Some(passes) = self.passes.get_mut(name) {
            passes.record_vain(now);
        }
    }

    /// Records that a peer has found a replica quiet at `now`, whose shorter silence here then counts
    /// too, unless it has had an event since.
    pub fn record_told(&mut self, now: TimeMs, name: &K) {
        if self.replicas.get(name).is_some_and(|streams| streams.last_event_at > now) {
            return;
        }
        if let Some(passes) = self.passes.get_mut(name) {
            passes.set_told_until(Some(now.after(TOLD_MS)));
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
        for name in &stalled {
            match self.replicas.get_mut(name) {
                Some(streams) if streams.open == 0 => {
                    self.replicas.remove(name);
                    self.suspect_until(now.after(UNWATCHED_SUSPICION_MS), name, true);
                }
                Some(streams) => {
                    // The suspicion keeps new requests away from now on.
                    streams.is_quiet = false;
                    self.suspect_stalled(now, name);
                }
                None => {}
            }
        }
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

    /// Returns the replicas that have been found quiet, and those whose streams have given nothing for
    /// longer than between two events of any full batch: they may be silent.
    pub fn quiet(&self, now: TimeMs) -> impl Iterator<Item = &K> {
        let replicas = self.replicas.iter();
        let quiet =
            replicas.filter(move |(_, at)| at.is_quiet || now.since(at.last_event_at) >= QUIET_MS);
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
        self.replicas.retain(|_, streams| streams.open > 0);
        for streams in self.replicas.values_mut() {
            (streams.last_event_at, streams.is_quiet) = (now, false);
        }
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
