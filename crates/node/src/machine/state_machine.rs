use celeryhaven_types::TimeMs;

/// A deterministic state machine that maps events and the current time to actions.
pub trait Machine {
    /// Input of the state machine.
    type Event;
    /// Output of the state machine, executed by the driver.
    type Action;

    /// Processes one event and appends the resulting actions, in order.
    fn handle(&mut self, now: TimeMs, event: Self::Event, out: &mut Vec<Self::Action>);

    /// Returns when the next tick event is due; `None` if no timer is set.
    fn next_wake(&self) -> Option<TimeMs>;
}
