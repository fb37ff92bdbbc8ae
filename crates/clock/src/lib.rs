//! Clocks: time since boot, including suspension, and wall-clock time.

mod boot_clock;
mod unix;

pub use boot_clock::BootClock;
pub use unix::unix_ms;
