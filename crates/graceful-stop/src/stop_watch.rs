use celeryhaven_types::TimeMs;

/// Finds out when a stop was asked for at the earliest.
///
/// A signal does not say when it was sent: a process that was suspended, or had no processor, sees
/// it late. The last look that did not see it is the earliest time.
///
/// ```
/// use celeryhaven_graceful_stop::StopWatch;
/// use celeryhaven_types::TimeMs;
/// let mut watch = StopWatch::new(TimeMs::new(1_000));
/// assert_eq!(watch.look(TimeMs::new(1_050), false), None);
/// // The process was suspended for two seconds, in which the signal was sent.
/// assert_eq!(watch.look(TimeMs::new(3_050), true), Some(TimeMs::new(1_050)));
/// ```
#[derive(Clone, Copy, Debug)]
pub struct StopWatch {
    looked_at: TimeMs,
}

impl StopWatch {
    /// Creates a watch before the first look.
    pub const fn new(now: TimeMs) -> Self {
        Self { looked_at: now }
    }

    /// Records a look; returns the earliest time of the signal if it was seen.
    pub fn look(&mut self, now: TimeMs, is_signalled: bool) -> Option<TimeMs> {
        if is_signalled {
            return Some(self.looked_at);
        }
        self.looked_at = now;
        None
    }
}
