//! A clock that counts time spent suspended.

mod boot_clock;
mod unix;

pub use boot_clock::BootClock;
pub use unix::unix_ms;
