//! One child process: logs, pause, kill, stop.

mod binaries;
mod child;

pub use binaries::binary;
pub use child::Process;
