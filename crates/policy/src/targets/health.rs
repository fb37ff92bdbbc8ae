use celeryhaven_derives::state;
use celeryhaven_types::TimeMs;

/// Answers after which a target may be ejected as slow, so that one long prompt does not eject it.
const SAMPLES_MIN: u32 = 4;

/// Latency relative to its peers above which a target is ejected.
const SLOW_RATIO: f64 = 2.0;

/// Latency relative to its peers below which a probe readmits a target.
const RECOVERED_RATIO: f64 = 1.5;

/// Consecutive failed attempts after which a target is ejected.
const CONSECUTIVE_FAILURES_MAX: u32 = 3;

/// First and longest delay between an ejection and the probe; it doubles with each ejection,
/// because each probe is a request that may be late.
const PROBE_DELAY_MS: u64 = 2_000;
const PROBE_DELAY_MAX_MS: u64 = 30_000;

/// Weight of a new latency sample.
const SAMPLE_WEIGHT: f64 = 0.3;

state! {
    /// Whether a target accepts requests.
    #[derive(Copy, Eq)]
    pub(crate) enum HealthState {
        /// Accepts requests up to its limit.
        Healthy,
        /// Accepts no requests before `until`.
        Ejected {
            until: TimeMs,
        },
        /// Accepts one request at a time, to check whether it has recovered.
        Probing,
    }

    /// The health of a target: its latency relative to the estimates of its class, and its
    /// failures.
    #[derive(Copy)]
    pub(crate) struct Health {
        pub(crate) state: HealthState,
        ratio: f64,
        samples: u32,
        consecutive_failures: u32,
        probe_delay_ms: u64,
    }
}

impl Health {
    pub(crate) fn new() -> Self {
        Self {
            state: HealthState::Healthy,
            ratio: 1.0,
            samples: 0,
            consecutive_failures: 0,
            probe_delay_ms: PROBE_DELAY_MS,
        }
    }

    pub(crate) fn ratio(&self) -> f64 {
        self.ratio
    }

    /// Records that the load reports of the target have stopped; counts as repeated failure.
    pub(crate) fn record_silence(&mut self) {
        self.consecutive_failures = CONSECUTIVE_FAILURES_MAX;
    }

    /// Whether consecutive attempts at the target have failed.
    pub(crate) fn is_failing(&self) -> bool {
        self.consecutive_failures >= CONSECUTIVE_FAILURES_MAX
    }

    /// Records an answer that took `ratio` times its estimate.
    pub(crate) fn record_answer(&mut self, ratio: f64) {
        self.samples = self.samples.saturating_add(1);
        self.consecutive_failures = 0;
        if self.state == HealthState::Probing {
            self.ratio = ratio;
        } else {
            self.ratio += (ratio - self.ratio) * SAMPLE_WEIGHT;
        }
        if self.state == HealthState::Probing && ratio < RECOVERED_RATIO {
            *self = Self::new();
        }
    }

    pub(crate) fn record_failure(&mut self) {
        self.consecutive_failures = self.consecutive_failures.saturating_add(1);
    }

    /// Whether the target should be ejected, given the mean latency ratio of its peers.
    pub(crate) fn should_eject(&self, peers_ratio: f64) -> bool {
        let is_slow = self.samples >= SAMPLES_MIN && self.ratio > SLOW_RATIO * peers_ratio.max(0.5);
        match self.state {
            HealthState::Healthy => is_slow || self.is_failing(),
            HealthState::Probing => {
                self.consecutive_failures > 0
                    || self.ratio >= RECOVERED_RATIO * peers_ratio.max(0.5)
            }
            HealthState::Ejected { .. } => false,
        }
    }

    pub(crate) fn eject(&mut self, now: TimeMs) -> TimeMs {
        let until = now.after(self.probe_delay_ms);
        self.state = HealthState::Ejected { until };
        self.probe_delay_ms = (self.probe_delay_ms * 2).min(PROBE_DELAY_MAX_MS);
        until
    }

    /// Keeps requests away until the end of a pause that the target has asked for.
    pub(crate) fn back_off(&mut self, until: TimeMs) {
        let until = match self.state {
            HealthState::Ejected { until: before } => before.max(until),
            HealthState::Healthy | HealthState::Probing => until,
        };
        self.state = HealthState::Ejected { until };
    }

    pub(crate) fn start_probing(&mut self) {
        self.state = HealthState::Probing;
        self.consecutive_failures = 0;
        self.ratio = 1.0;
    }
}
