use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

use celeryhaven_fleet::ReplicaKey;
use celeryhaven_policy::{QuietReplica, Ticket, quiet_seconds_max};
use celeryhaven_types::{ServiceName, Set, TimeMs};

use crate::traffic::second_attempts::SecondReason;
use crate::traffic::{DestinationName, DispatchState};

/// Time after which a second attempt that could not be begun is tried again, in milliseconds.
const AGAIN_MS: u64 = 10;

/// Streams of replicas that have paused and whose routes bound pauses.
impl DispatchState {
    /// Records the first event of a stream.
    pub(crate) fn stream_started(&mut self, now: TimeMs, ticket: Ticket) {
        let Some(active) = self.active_requests.get_mut(&ticket) else { return };
        let Some(name) = active.destination.clone() else { return };
        if active.streaming_since.replace(now).is_some() {
            return;
        }
        // Without a pause bound, nothing depends on the passes of the replica.
        let has_bound = active.pause_max_ms.is_some();
        let profile = self.pools.get(&active.pool).and_then(|pool| pool.pass_profile);
        if let (Some(profile), true, DestinationName::Replica(_)) = (profile, has_bound, &name) {
            self.stall_detector.set_profile(&name, profile);
        }
        if self.stall_detector.stream_started(now, &name) {
            self.set_quiet(now, &name, false);
        }
    }

    /// Records an event of a stream of a destination.
    pub(crate) fn progressed(&mut self, now: TimeMs, name: &DestinationName) {
        if self.stall_detector.event_received(now, name) {
            self.set_quiet(now, name, false);
        }
    }

    /// Keeps new requests off the replicas that have become quiet and returns them; begins second
    /// attempts of streams whose pause bounds would pass otherwise.
    ///
    /// No replica of an `unknown` service is quiet: this node may be isolated from it.
    pub(crate) fn detect_quiet(
        &mut self,
        now: TimeMs,
        unknown: &BTreeSet<ServiceName>,
    ) -> Vec<QuietReplica<DestinationName>> {
        let excluded = match unknown.is_empty() {
            true => Vec::new(),
            false => self.destinations.iter().filter(|at| unknown.contains(&at.service)).collect(),
        };
        let excluded: Set<&DestinationName> = excluded.into_iter().map(|at| &at.name).collect();
        let found = self.stall_detector.detect_quiet(now, |name| !excluded.contains(name));
        found.iter().for_each(|replica| self.set_quiet(now, &replica.name, true));
        self.start_quiet_seconds(now);
        found
    }

    /// Returns when `detect_quiet` must be called next, as far as is known now.
    pub(crate) fn next_quiet_check(&self, now: TimeMs) -> Option<TimeMs> {
        let next = [self.stall_detector.next_quiet_at(now), self.quiet_second_at];
        next.into_iter().flatten().min()
    }

    /// Begins second attempts of the streams at quiet replicas that are due, the most urgent first.
    fn start_quiet_seconds(&mut self, now: TimeMs) {
        self.quiet_second_at = None;
        if self.stall_detector.found_quiet().is_empty() {
            return;
        }
        let (mut running, mut begun, mut due) = (0, 0, Vec::new());
        for (ticket, active) in &self.active_requests {
            running += usize::from(active.streaming_since.is_some());
            let has_two = active.second.is_some() || active.first.is_some();
            let is_quiet = active.second_reason == Some(SecondReason::Quiet);
            begun += usize::from(active.second.is_some() && is_quiet);
            if !active.may_repeat || has_two || active.streaming_since.is_none() {
                continue;
            }
            let (Some(name), Some(bound_ms)) = (&active.destination, active.pause_max_ms) else {
                continue;
            };
            match self.stall_detector.second_due_at(name, bound_ms) {
                Some(at) if at <= now => due.push((at, *ticket)),
                Some(at) => {
                    self.quiet_second_at =
                        Some(self.quiet_second_at.map_or(at, |next| next.min(at)));
                }
                None => {}
            }
        }
        due.sort_unstable();
        let (due_count, begun_before) = (due.len(), begun);
        for (_, ticket) in due {
            if begun >= quiet_seconds_max(running) {
                break;
            }
            begun += self.start_seconds(now, vec![ticket], SecondReason::Quiet);
        }
        // Those that were not begun may be once another has ended, or a target is free.
        if begun - begun_before < due_count {
            let again_at = now.after(AGAIN_MS);
            self.quiet_second_at =
                Some(self.quiet_second_at.map_or(again_at, |at| at.min(again_at)));
        }
    }

    /// Sets the replicas that peers have found quiet; those that are new count at shorter silences.
    pub(crate) fn set_quiet_at_peers(&mut self, replicas: &Arc<BTreeMap<ReplicaKey, TimeMs>>) {
        if Arc::ptr_eq(&self.quiet_at_peers, replicas) {
            return;
        }
        let before = std::mem::replace(&mut self.quiet_at_peers, replicas.clone());
        for (replica, &at) in replicas.iter() {
            if before.get(replica) != Some(&at) {
                let name = DestinationName::Replica(replica.clone());
                self.stall_detector.record_told(at, &name);
            }
        }
    }

    /// Records that the first attempt of a request has given the next event while a second one ran.
    pub(crate) fn record_vain(&mut self, now: TimeMs, ticket: Ticket) {
        let active = self.active_requests.get(&ticket);
        if let Some(name) = active.and_then(|active| active.destination.as_ref()) {
            self.stall_detector.record_vain(now, name);
        }
    }

    /// Lets new requests go to all replicas that were found quiet.
    pub(super) fn clear_quiet(&mut self, now: TimeMs) {
        for name in self.stall_detector.found_quiet() {
            self.set_quiet(now, &name, false);
        }
    }

    /// Forgets the passes of replicas that are no destinations any more.
    pub(super) fn retain_passes(&mut self) {
        let names: Set<&DestinationName> = self.destinations.iter().map(|at| &at.name).collect();
        self.stall_detector.retain_passes(|name| names.contains(name));
    }

    fn set_quiet(&mut self, now: TimeMs, name: &DestinationName, is_quiet: bool) {
        for key in self.pools.keys().cloned().collect::<Vec<_>>() {
            let mut out = Vec::new();
            if let Some(pool) = self.pools.get_mut(&key) {
                pool.set_quiet(now, name, is_quiet, &mut out);
            }
            self.execute(&key, out);
        }
    }
}
