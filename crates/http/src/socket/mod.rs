//! TCP sockets and timers for `hyper`.

mod options;
mod read_meter;
mod smol_io;
mod smol_timer;

pub use options::{bound_receive_buffers, set_tcp_options};
pub use read_meter::MessagePart;
pub(crate) use read_meter::{ExcessOverhead, ReadMeter};
pub use smol_io::SmolIo;
pub use smol_timer::SmolTimer;
