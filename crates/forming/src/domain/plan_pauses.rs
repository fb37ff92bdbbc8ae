use std::collections::{BTreeMap, BTreeSet};

use celeryhaven_types::{TimeMs, VmName};

/// Shortest time between two plans of a target, and between two plans of the same members, in
/// milliseconds.
const PLAN_INTERVAL_MIN_MS: u64 = 500;

/// First pause of a target after a failed join, stage or probe, in milliseconds. Each further failure
/// doubles it.
const FAILURE_PAUSE_MS: u64 = 500;

/// Longest pause of a target after a failure, in milliseconds.
const FAILURE_PAUSE_MAX_MS: u64 = 8_000;

/// How long a failure counts after its pause has ended, in milliseconds.
const FAILURE_MEMORY_MS: u64 = 16_000;

/// Failures in a row of one target.
#[derive(Clone, Copy, Debug)]
struct Failures {
    /// When the target may be planned again.
    until: TimeMs,
    pause_ms: u64,
    /// Whether an answered probe ends the pause.
    ends_when_answered: bool,
}

/// When targets may be planned again, after plans and failures.
///
/// When a data centre is lost or returns, many listed targets cannot be reached. Without pauses, each
/// would be planned again in the step after its failure, and keep the others out of service.
#[derive(Clone, Debug, Default)]
pub(crate) struct PlanPauses {
    planned_at: BTreeMap<VmName, TimeMs>,
    failures: BTreeMap<VmName, Failures>,
    /// Members of failed formations, and until when they are not planned together.
    failed_formations: Vec<(BTreeSet<VmName>, TimeMs)>,
}

impl PlanPauses {
    /// Drops what no longer matters.
    pub(crate) fn expire(&mut self, now: TimeMs) {
        self.planned_at.retain(|_, at| now.since(*at) < PLAN_INTERVAL_MIN_MS);
        self.failures.retain(|_, failures| now < failures.until.after(FAILURE_MEMORY_MS));
        self.failed_formations.retain(|(_, until)| now < *until);
    }

    pub(crate) fn record_plan(&mut self, now: TimeMs, members: &[VmName]) {
        self.planned_at.extend(members.iter().map(|member| (member.clone(), now)));
    }

    pub(crate) fn record_failed_formation(&mut self, now: TimeMs, members: &[VmName]) {
        let members = members.iter().cloned().collect();
        self.failed_formations.push((members, now.after(PLAN_INTERVAL_MIN_MS)));
    }

    /// Starts or doubles the pause of a target that did not do as it was ordered.
    ///
    /// The next answered probe ends the first pause only: a target that answers probes and fails again
    /// would be planned every half second.
    pub(crate) fn record_failure(&mut self, now: TimeMs, target: &VmName) {
        let pause_ms = match self.failures.get(target) {
            Some(failures) => (failures.pause_ms * 2).min(FAILURE_PAUSE_MAX_MS),
            None => FAILURE_PAUSE_MS,
        };
        let ends_when_answered = !self.failures.contains_key(target);
        let failures = Failures { until: now.after(pause_ms), pause_ms, ends_when_answered };
        self.failures.insert(target.clone(), failures);
    }

    /// Starts a pause that the next answered probe ends, or lengthens it to the next probe.
    pub(crate) fn record_failed_probe(&mut self, now: TimeMs, target: &VmName) {
        let first = Failures { until: now, pause_ms: 0, ends_when_answered: true };
        let failures = self.failures.entry(target.clone()).or_insert(first);
        if failures.until <= now {
            failures.pause_ms =
                (failures.pause_ms * 2).clamp(FAILURE_PAUSE_MS, FAILURE_PAUSE_MAX_MS);
            failures.until = now.after(failures.pause_ms);
        }
        failures.ends_when_answered = true;
    }

    pub(crate) fn record_answered_probe(&mut self, now: TimeMs, target: &VmName) {
        if let Some(failures) = self.failures.get_mut(target).filter(|it| it.ends_when_answered) {
            failures.until = failures.until.min(now);
        }
    }

    pub(crate) fn record_success(&mut self, target: &VmName) {
        self.failures.remove(target);
    }

    /// Whether a target may be planned, as far as its own failures and plans are concerned.
    pub(crate) fn may_plan(&self, now: TimeMs, target: &VmName) -> bool {
        let planned_at = self.planned_at.get(target);
        !self.is_pausing(now, target)
            && planned_at.is_none_or(|at| now.since(*at) >= PLAN_INTERVAL_MIN_MS)
    }

    /// Whether a target has failed and its pause has not ended.
    pub(crate) fn is_pausing(&self, now: TimeMs, target: &VmName) -> bool {
        self.failures.get(target).is_some_and(|failures| now < failures.until)
    }

    /// Whether a target has failed lately, so that others are tried first.
    pub(crate) fn has_failed(&self, target: &VmName) -> bool {
        self.failures.contains_key(target)
    }

    /// Whether a formation of these members has failed within the interval.
    pub(crate) fn have_failed_together(&self, now: TimeMs, members: &[VmName]) -> bool {
        let is_same = |failed: &BTreeSet<VmName>| {
            failed.len() == members.len() && members.iter().all(|member| failed.contains(member))
        };
        self.failed_formations.iter().any(|(failed, until)| now < *until && is_same(failed))
    }
}
