use celeryhaven_types::TimeMs;

use crate::interface::{Decision, PolicyEvent};

/// Decides when and where each request runs, and which requests are refused.
///
/// Every ticket that arrives is finished by exactly one [`Decision::Refuse`],
/// [`PolicyEvent::Finished`] or [`PolicyEvent::CallerDisconnected`]. Until then, each
/// [`Decision::Dispatch`] is followed by `Finished`, `AttemptFailed` or `CallerDisconnected`.
pub trait RequestPolicy {
    /// Applies one event and appends the resulting decisions to `out`.
    fn handle(&mut self, now: TimeMs, event: PolicyEvent<'_>, out: &mut Vec<Decision>);

    /// Returns when [`PolicyEvent::Tick`] is next due, or `None` if no timer is pending.
    fn next_wake(&self) -> Option<TimeMs>;
}
