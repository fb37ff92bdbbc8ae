use celeryhaven_derives::state;
use celeryhaven_types::TimeMs;

use crate::estimate::Mean;
use crate::stall::PassProfile;

/// Number of gaps from which the learnt threshold is used.
const GAPS_MIN: u32 = 16;

/// Mean deviations above the mean gap that a pass may take.
const DEVIATIONS: f64 = 4.0;

/// Factor on the longest recent gap: the next long one may be somewhat longer.
const LONGEST_MARGIN: f64 = 1.2;

/// Gaps after which the longest of those before the last so many is forgotten.
///
/// Of gaps that one pass in a hundred has, one is remembered most of the time.
const WINDOW_GAPS: u32 = 128;

/// Factor on the threshold after second attempts in vain, the longest such factor, and the time for
/// which it holds.
const VAIN_FACTOR: f64 = 1.5;
const VAIN_FACTOR_MAX: f64 = 4.0;
const VAIN_MS: u64 = 10_000;

/// Time within which second attempts in vain count once: those at one replica end in one pass.
const VAIN_DEDUP_MS: u64 = 250;

/// Factor on the threshold while a peer has found the replica quiet.
const TOLD_FACTOR: f64 = 0.5;

state! {
    /// Gaps between the passes of a replica, as the streams of this node show them.
    #[derive(Copy)]
    pub(super) struct PassTimes {
        profile: PassProfile,
        gap_ms: Mean,
        gaps: u32,
        /// Longest gap of the current window and of the one before it.
        longest_ms: (f64, f64),
        vain_factor: f64,
        vain_until: TimeMs,
        last_vain_at: Option<TimeMs>,
        /// Until when the silence that a peer has found counts.
        told_until: Option<TimeMs>,
    }
}

impl PassTimes {
    pub(super) fn new(profile: PassProfile) -> Self {
        Self {
            profile,
            gap_ms: Mean::new(profile.full_ms),
            gaps: 0,
            longest_ms: (0.0, 0.0),
            vain_factor: 1.0,
            vain_until: TimeMs::new(0),
            last_vain_at: None,
            told_until: None,
        }
    }

    pub(super) fn profile(&self) -> PassProfile {
        self.profile
    }

    pub(super) fn set_profile(&mut self, profile: PassProfile) {
        self.profile = profile;
    }

    /// Records the time between two events of a replica, unless both are of one pass.
    pub(super) fn record_gap(&mut self, gap_ms: u64) {
        let gap_ms = gap_ms as f64;
        if gap_ms < self.profile.same_pass_ms().max(1.0) {
            return;
        }
        self.gap_ms.add(gap_ms);
        self.gaps = self.gaps.saturating_add(1);
        if self.gaps.is_multiple_of(WINDOW_GAPS) {
            self.longest_ms = (0.0, self.longest_ms.0);
        }
        self.longest_ms.0 = self.longest_ms.0.max(gap_ms);
    }

    /// Lengthens the threshold for a while, as the replica had not stopped.
    pub(super) fn record_vain(&mut self, now: TimeMs) {
        if self.last_vain_at.is_some_and(|at| now.since(at) < VAIN_DEDUP_MS) {
            return;
        }
        let factor = if now < self.vain_until { self.vain_factor } else { 1.0 };
        self.vain_factor = (factor * VAIN_FACTOR).min(VAIN_FACTOR_MAX);
        self.vain_until = now.after(VAIN_MS);
        self.last_vain_at = Some(now);
    }

    /// Records that a peer has found the replica quiet; `None` clears it.
    pub(super) fn set_told_until(&mut self, until: Option<TimeMs>) {
        self.told_until = until;
    }

    pub(super) fn is_told(&self, now: TimeMs) -> bool {
        self.told_until.is_some_and(|until| now < until)
    }

    /// Returns the silence after which the replica is quiet, at most `max_ms`, in milliseconds.
    pub(super) fn threshold_ms(&self, now: TimeMs, max_ms: u64) -> u64 {
        let learnt = match self.gaps < GAPS_MIN {
            true => self.profile.initial_threshold_ms(),
            false => {
                let longest = self.longest_ms.0.max(self.longest_ms.1);
                self.gap_ms.above(DEVIATIONS).max(longest * LONGEST_MARGIN)
            }
        };
        let vain_factor = if now < self.vain_until { self.vain_factor } else { 1.0 };
        let threshold = learnt.max(self.profile.threshold_min_ms()) * vain_factor;
        let threshold = threshold.min(max_ms as f64);
        let told_factor = if self.is_told(now) { TOLD_FACTOR } else { 1.0 };
        (threshold * told_factor).ceil() as u64
    }
}
