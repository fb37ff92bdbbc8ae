use std::collections::BTreeMap;

use celeryhaven_derives::state;
use celeryhaven_types::{TimeMs, VmName};

/// How long the end of a pause is remembered if the target answers no request, in milliseconds.
///
/// A target that returns within this time gets one request first.
const ENDED_RETENTION_MS: u64 = 60_000;

state! {
    /// A pause that a target has asked for.
    #[derive(Copy, Eq)]
    struct BackOff {
        started_at_ms: Option<u64>,
        until: TimeMs,
    }
}

/// The targets that have asked this node for a pause.
///
/// A pause holds for this node alone, for every request to the process that asked for it, and for
/// as long as it said.
///
/// ```
/// use celeryhaven_target_limits::BackOffs;
/// use celeryhaven_types::{TimeMs, VmName};
///
/// let (mut back_offs, target) = (BackOffs::new(), VmName::new("vm-1"));
/// back_offs.observe(TimeMs::new(0), &target, Some(7), 3_000);
/// assert!(back_offs.holds(TimeMs::new(2_999), &target, Some(7)));
/// assert!(!back_offs.holds(TimeMs::new(3_000), &target, Some(7)));
/// ```
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct BackOffs {
    by_target: BTreeMap<VmName, BackOff>,
}

impl BackOffs {
    /// Creates an empty set.
    pub fn new() -> Self {
        Self::default()
    }

    /// Records that a target, started at a time in Unix milliseconds if known, asked for a pause.
    ///
    /// The longest pause holds.
    pub fn observe(
        &mut self,
        now: TimeMs,
        target: &VmName,
        started_at_ms: Option<u64>,
        pause_ms: u64,
    ) {
        self.by_target.retain(|_, back_off| now < back_off.until.after(ENDED_RETENTION_MS));
        let until = now.after(pause_ms);
        let new = BackOff { started_at_ms, until };
        let back_off = self.by_target.entry(target.clone()).or_insert(new);
        let is_same_process = back_off.started_at_ms == started_at_ms;
        *back_off = match is_same_process && back_off.until > until {
            true => *back_off,
            false => new,
        };
    }

    /// Records that a target has answered a request; returns whether its pause is forgotten.
    ///
    /// An answer within the pause, to an earlier request, does not end it.
    pub fn record_answer(&mut self, now: TimeMs, target: &VmName) -> bool {
        let is_over = self.by_target.get(target).is_some_and(|back_off| back_off.until <= now);
        if is_over {
            self.by_target.remove(target);
        }
        is_over
    }

    /// Returns the end of the last pause that the process of a target has asked for.
    pub fn until(&self, target: &VmName, started_at_ms: Option<u64>) -> Option<TimeMs> {
        let back_off = self.by_target.get(target)?;
        (back_off.started_at_ms == started_at_ms).then_some(back_off.until)
    }

    /// Whether requests to a target must wait for the end of its pause.
    pub fn holds(&self, now: TimeMs, target: &VmName, started_at_ms: Option<u64>) -> bool {
        self.until(target, started_at_ms).is_some_and(|until| now < until)
    }

    /// Returns when the next pause ends that is not over.
    pub fn next_end(&self, now: TimeMs) -> Option<TimeMs> {
        self.by_target.values().map(|back_off| back_off.until).filter(|until| now < *until).min()
    }

    /// Returns the number of targets whose pause is not over.
    pub fn count(&self, now: TimeMs) -> usize {
        self.by_target.values().filter(|back_off| now < back_off.until).count()
    }
}
