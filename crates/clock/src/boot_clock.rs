use celeryhaven_types::TimeMs;
use rustix::time::{ClockId, clock_gettime};

/// Milliseconds since this VM booted, time spent suspended included.
///
/// Guards against a VM that is paused with a decision in hand: the monotonic clock may stand still
/// meanwhile, so after the wake a deadline or a lease would look as far off as before, and the
/// request would run although its caller has long been told otherwise. This clock has moved on.
///
/// ```
/// let clock = celeryhaven_clock::BootClock;
/// assert!(clock.now() <= clock.now());
/// ```
#[derive(Clone, Copy, Debug, Default)]
pub struct BootClock;

impl BootClock {
    /// The time now.
    pub fn now(self) -> TimeMs {
        TimeMs::new(millis(ClockId::Boottime))
    }

    /// CPU time that the calling thread has used, in milliseconds.
    pub fn thread_cpu_ms(self) -> u64 {
        millis(ClockId::ThreadCPUTime)
    }
}

fn millis(clock: ClockId) -> u64 {
    let time = clock_gettime(clock);
    let seconds = u64::try_from(time.tv_sec).unwrap_or_default();
    seconds * 1_000 + u64::try_from(time.tv_nsec).unwrap_or_default() / 1_000_000
}
