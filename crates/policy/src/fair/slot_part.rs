use celeryhaven_types::TimeMs;

/// Largest number of slots that unused parts of the past add to the current part.
///
/// All nodes may have been idle before a surge.
const CREDIT_SLOTS_MAX: f64 = 0.5;

/// Time in which a difference of one slot earns or costs one slot, in milliseconds.
///
/// About the time of a request in a slot.
const CREDIT_TIME_MS: f64 = 1_000.0;

/// Time constant of the mean fraction, in milliseconds.
const MEAN_TIME_MS: f64 = 1_000.0;

/// The part of the slots of its targets that a node may use.
///
/// Hundreds of nodes may have about one slot each. If each rounded up, they would fill the targets
/// twice over. The part of a slot that a node could not use is therefore credited to it, and a
/// request that still runs after the part has become smaller is charged.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct SlotPart {
    fraction: Option<f64>,
    /// Recent mean of the fraction.
    mean: f64,
    /// Slots that the node has used less than its part in the recent past; negative if more.
    credit: f64,
    updated_at: TimeMs,
}

impl SlotPart {
    /// Sets the fraction of `slots`, of which `in_flight` are in use.
    pub(crate) fn set(&mut self, now: TimeMs, fraction: Option<f64>, slots: f64, in_flight: u32) {
        let elapsed_ms = now.since(self.updated_at) as f64;
        self.updated_at = now;
        let fraction = fraction.filter(|fraction| fraction.is_finite());
        let fraction = fraction.map(|fraction| fraction.clamp(0.0, 1.0));
        let Some((before, after)) = self.fraction.zip(fraction) else {
            (self.fraction, self.mean, self.credit) = (fraction, fraction.unwrap_or_default(), 0.0);
            return;
        };
        let part = slots * before;
        let unused = (part - f64::from(in_flight)) * elapsed_ms / CREDIT_TIME_MS;
        self.credit = (self.credit + unused).clamp(-part.max(1.0), CREDIT_SLOTS_MAX);
        self.mean += (after - self.mean) * (1.0 - (-elapsed_ms / MEAN_TIME_MS).exp());
        self.fraction = Some(after);
    }

    /// Returns the fraction; `None` for an even part.
    pub(crate) fn fraction(&self) -> Option<f64> {
        self.fraction
    }

    /// Returns the fraction to expect in the next second; `None` for an even part.
    ///
    /// Requests are not refused because the fraction is small for a moment.
    pub(crate) fn expected_fraction(&self) -> Option<f64> {
        self.fraction.map(|fraction| fraction.max(self.mean))
    }

    /// Returns the maximum number of requests at targets with this many slots.
    pub(crate) fn slots_max(&self, slots: f64) -> Option<u32> {
        self.fraction.map(|fraction| (slots * fraction + self.credit).max(0.0) as u32)
    }
}
