use celeryhaven_types::TimeMs;
use rustix::time::{ClockId, clock_gettime};

/// Clock of the milliseconds since boot, including time spent suspended.
///
/// Unlike the monotonic clock, it makes deadlines and leases expire while the VM is suspended.
///
/// ```
/// let clock = celeryhaven_clock::BootClock;
/// assert!(clock.now() <= clock.now());
/// ```
#[derive(Clone, Copy, Debug, Default)]
pub struct BootClock;

impl BootClock {
    /// Returns the current time.
    pub fn now(self) -> TimeMs {
        TimeMs::new(millis(ClockId::Boottime))
    }

    /// Returns the CPU time of the calling thread, in milliseconds.
    pub fn thread_cpu_ms(self) -> u64 {
        millis(ClockId::ThreadCPUTime)
    }
}

fn millis(clock: ClockId) -> u64 {
    let time = clock_gettime(clock);
    let seconds = u64::try_from(time.tv_sec).unwrap_or_default();
    seconds * 1_000 + u64::try_from(time.tv_nsec).unwrap_or_default() / 1_000_000
}
