use celeryhaven_types::TimeMs;

/// Interval at which the direction of rounding changes, in milliseconds.
///
/// About the time of a request in a slot. If it changed with each event, a waiting request would
/// soon be rounded up.
const ROUNDING_INTERVAL_MS: u64 = 1_000;

/// The part of the slots of its targets that a node may use.
///
/// Rounds at random: with hundreds of nodes and about one slot for each, rounding up at every node
/// would fill the targets twice over.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct SlotPart {
    fraction: Option<f64>,
    /// Added before a number of slots is rounded down; from 0 to 1.
    rounding: f64,
    rounded_at: Option<TimeMs>,
}

impl SlotPart {
    /// Sets the fraction; `random` is from 0 to 1.
    pub(crate) fn set(&mut self, now: TimeMs, fraction: Option<f64>, random: f64) {
        self.fraction = fraction.filter(|fraction| fraction.is_finite());
        if self.rounded_at.is_none_or(|at| now.since(at) >= ROUNDING_INTERVAL_MS) {
            self.rounding = random;
            self.rounded_at = Some(now);
        }
    }

    /// Returns the fraction; `None` for an even part.
    pub(crate) fn fraction(&self) -> Option<f64> {
        self.fraction.map(|fraction| fraction.clamp(0.0, 1.0))
    }

    /// Returns the whole slots of a number of slots that may have a fraction.
    pub(crate) fn round(&self, slots: f64) -> u32 {
        (slots + self.rounding) as u32
    }
}
