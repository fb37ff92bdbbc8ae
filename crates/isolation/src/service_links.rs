use celeryhaven_derives::state;
use celeryhaven_types::TimeMs;

use crate::{CheckOutcome, LinkChange};

/// Time without a byte from any target, while requests wait for answers, after which the links are
/// checked, in milliseconds.
const SILENCE_MS: u64 = 300;

/// Interval between two checks of links that are not known to be lost, in milliseconds.
const CHECK_INTERVAL_MS: u64 = 1_000;

/// Interval between two checks while the node is isolated, in milliseconds.
const ISOLATED_CHECK_INTERVAL_MS: u64 = 300;

/// Targets of a check of links that are not known to be lost.
///
/// A few targets may have ended together.
const CHECK_TARGETS: usize = 5;

/// Targets of a check while the node is isolated.
const ISOLATED_CHECK_TARGETS: usize = 2;

state! {
    /// Links of a node to the targets of one service.
    #[derive(Copy, Default, Eq)]
    pub(crate) struct ServiceLinks {
        /// When a new connection was last opened.
        connected_at: Option<TimeMs>,
        /// When the oldest request was sent that no byte of any target has followed.
        silent_since: Option<TimeMs>,
        is_being_checked: bool,
        check_started_at: Option<TimeMs>,
        pub(crate) is_isolated: bool,
    }
}

impl ServiceLinks {
    pub(crate) fn sent(&mut self, now: TimeMs) {
        self.silent_since.get_or_insert(now);
    }

    pub(crate) fn received(&mut self) {
        self.silent_since = None;
    }

    pub(crate) fn connected(&mut self, now: TimeMs) -> Option<LinkChange> {
        self.connected_at = Some(now);
        self.restore()
    }

    /// Returns the number of targets to check, and begins the check, if one is due.
    pub(crate) fn take_due_check(&mut self, now: TimeMs) -> Option<usize> {
        let since_check_ms = self.check_started_at.map_or(u64::MAX, |at| now.since(at));
        let is_silent = self.silent_since.is_some_and(|since| now.since(since) >= SILENCE_MS);
        let is_due = match self.is_isolated {
            true => since_check_ms >= ISOLATED_CHECK_INTERVAL_MS,
            false => is_silent && since_check_ms >= CHECK_INTERVAL_MS,
        };
        (is_due && !self.is_being_checked).then(|| self.begin_check(now))
    }

    /// Begins a check that is wanted at once; returns the number of targets.
    pub(crate) fn begin_check(&mut self, now: TimeMs) -> usize {
        self.is_being_checked = true;
        self.check_started_at = Some(now);
        if self.is_isolated { ISOLATED_CHECK_TARGETS } else { CHECK_TARGETS }
    }

    pub(crate) fn check_ended(&mut self, now: TimeMs, outcome: CheckOutcome) -> Option<LinkChange> {
        self.is_being_checked = false;
        match outcome {
            CheckOutcome::Reached => self.connected(now),
            CheckOutcome::NoTargets => self.restore(),
            CheckOutcome::Unreachable if self.has_connected_since_check() => None,
            CheckOutcome::Unreachable => {
                let was_isolated = std::mem::replace(&mut self.is_isolated, true);
                (!was_isolated).then_some(LinkChange::Isolated)
            }
        }
    }

    /// Whether a new connection was opened at or after a time.
    pub(crate) fn has_connected_since(&self, at: TimeMs) -> bool {
        self.connected_at.is_some_and(|connected_at| connected_at >= at)
    }

    fn has_connected_since_check(&self) -> bool {
        self.check_started_at.is_some_and(|at| self.has_connected_since(at))
    }

    fn restore(&mut self) -> Option<LinkChange> {
        self.silent_since = None;
        let was_isolated = std::mem::replace(&mut self.is_isolated, false);
        was_isolated.then_some(LinkChange::Restored)
    }
}
