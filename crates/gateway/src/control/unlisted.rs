use std::collections::BTreeMap;

use celeryhaven_clock::BootClock;
use celeryhaven_fleet::{UnlistedChange, UnlistedTarget};
use celeryhaven_forming::{FormingEvent, Reachability};
use celeryhaven_types::{TimeMs, VmName};
use rand::Rng;
use slog::info;

use crate::adapter::Adapter;
use crate::control::event::ControlEvent;
use crate::control::{CalledTarget, Control};

/// Time from the removal of the entry of a target that takes requests to this node's first probe, in
/// milliseconds.
///
/// An answer to a request often comes earlier and makes the probe needless; the spread keeps the probes
/// of all nodes apart.
const FIRST_PROBE_MIN_MS: u64 = 200;
const FIRST_PROBE_SPREAD_MS: u64 = 600;

/// Shortest time between two probes of a target that traffic has reported as lost, in milliseconds.
const REPORTED_PROBE_INTERVAL_MS: u64 = 500;

/// Probes of the unlisted targets to which this node sends requests.
#[derive(Debug, Default)]
pub(super) struct UnlistedProbes {
    by_target: BTreeMap<VmName, ProbeTimes>,
    /// Targets that the planners' probes have found unreachable since the last step of the planners.
    unreachable: Vec<VmName>,
}

#[derive(Clone, Copy, Debug)]
struct ProbeTimes {
    first_at: TimeMs,
    probed_at: Option<TimeMs>,
    is_reported_lost: bool,
}

impl ProbeTimes {
    fn due_at(&self, unlisted: &UnlistedTarget) -> TimeMs {
        let reported = self
            .probed_at
            .map_or(unlisted.since, |probed_at| probed_at.after(REPORTED_PROBE_INTERVAL_MS));
        match self.probed_at {
            _ if self.is_reported_lost => reported,
            None if unlisted.answers.last_at().is_none() => self.first_at,
            probed_at => unlisted.next_probe_at(probed_at.unwrap_or(unlisted.since)),
        }
    }
}

impl<A: Adapter> Control<A> {
    /// Applies the answers of unlisted targets; returns whether that changes where requests may go.
    pub(super) fn apply_unlisted_answers(&mut self, now: TimeMs) -> bool {
        let answers = self.parts.target_client.notices.take_unlisted_answers();
        answers.iter().fold(false, |changed, (target, started_at_ms, answers)| {
            changed | self.fleet.record_answers(now, (target, *started_at_ms), answers)
        })
    }

    /// Probes the unlisted targets that take requests, unless this node's planners do.
    pub(super) fn probe_unlisted_heads(&mut self, now: TimeMs) {
        let Self { fleet, coordinators, unlisted_probes, rng, .. } = self;
        let probes = &mut unlisted_probes.by_target;
        probes.retain(|name, _| fleet.unlisted(name).is_some());
        let mut due = Vec::new();
        for (entry, unlisted) in fleet.unlisted_heads() {
            if entry.domain.as_ref().is_some_and(|name| coordinators.domains.contains_key(name)) {
                continue;
            }
            let times = probes.entry(entry.name.clone()).or_insert_with(|| {
                let delay_ms = FIRST_PROBE_MIN_MS + rng.random_range(0..FIRST_PROBE_SPREAD_MS);
                let first_at = unlisted.since.after(delay_ms);
                ProbeTimes { first_at, probed_at: None, is_reported_lost: false }
            });
            if times.due_at(unlisted) <= now {
                (times.probed_at, times.is_reported_lost) = (Some(now), false);
                due.push(CalledTarget::new(entry));
            }
        }
        due.into_iter().for_each(|called| self.probe_unlisted(called));
    }

    fn probe_unlisted(&self, called: CalledTarget) {
        let (client, events) = (self.parts.target_client.clone(), self.parts.events.0.clone());
        let log = self.parts.log.clone();
        let probe = async move {
            let reachability = client.probe_target(&called).await;
            info!(log, "probe of unlisted target"; "target" => called.name.as_str(),
                "reachability" => reachability.map(|found| format!("{found:?}")));
            if let Some(reachability) = reachability {
                let event = ControlEvent::UnlistedProbed(called.name, reachability);
                events.send(event).await.unwrap_or_default();
            }
        };
        self.executor.spawn(probe).detach();
    }

    /// Applies the result of this node's probe; returns whether the target was removed.
    pub(super) fn record_unlisted_probe(
        &mut self,
        now: TimeMs,
        target: &VmName,
        reachability: Reachability,
    ) -> bool {
        is_lost(reachability) && self.fleet.record_unreachable(now, target)
    }

    /// Probes a target soon that traffic has reported as lost, if it is unlisted.
    pub(super) fn hasten_unlisted_probe(&mut self, target: &VmName) {
        if let Some(times) = self.unlisted_probes.by_target.get_mut(target) {
            times.is_reported_lost = true;
        }
    }

    /// Notes the result of a planner's probe, to be applied once the planner has acted on it.
    ///
    /// The planner orders the other members to leave only as long as they are known.
    pub(super) fn note_planner_probe(&mut self, event: &FormingEvent) {
        if let FormingEvent::ProbeCompleted { target, reachability } = event
            && is_lost(*reachability)
            && self.fleet.unlisted(target).is_some()
        {
            self.unlisted_probes.unreachable.push(target.clone());
        }
    }

    /// Removes the unlisted targets that the planners' probes have found unreachable; returns whether
    /// there were any.
    pub(super) fn remove_unreachable(&mut self, now: TimeMs) -> bool {
        let unreachable = std::mem::take(&mut self.unlisted_probes.unreachable);
        unreachable
            .iter()
            .fold(false, |removed, target| removed | self.fleet.record_unreachable(now, target))
    }

    /// Logs which targets have become unlisted or are no longer, and has answers of the others recorded.
    pub(super) fn log_unlisted_changes(&mut self) {
        let changes = self.fleet.take_unlisted_changes();
        if changes.is_empty() {
            return;
        }
        changes.iter().for_each(|change| self.log_unlisted_change(change));
        let unlisted = self
            .fleet
            .unlisted_targets()
            .filter_map(|(name, _)| Some((name.clone(), self.fleet.target(name)?.started_at_ms)));
        let unlisted: BTreeMap<_, _> = unlisted.collect();
        self.parts.metrics.targets_unlisted.set(unlisted.len() as i64);
        self.parts.target_client.notices.watch_unlisted(unlisted);
    }

    fn log_unlisted_change(&self, change: &UnlistedChange) {
        let UnlistedChange { target, evidence, end, at } = change;
        let now = BootClock.now();
        info!(self.parts.log, "unlisted target"; "target" => target.as_str(),
            "change" => end.map_or("unlisted", celeryhaven_fleet::UnlistedEnd::as_str),
            "unlisted_ms" => at.since(evidence.since),
            "answer_age_ms" => evidence.answers.last_at().map(|answered| now.since(answered)),
            "closing_answers" => evidence.answers.closing());
    }
}

fn is_lost(reachability: Reachability) -> bool {
    matches!(reachability, Reachability::Gone | Reachability::NoConnection)
}
