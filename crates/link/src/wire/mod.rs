//! Messages and frames on a link.

mod codec;
mod frames;
mod link;
mod timeout;

pub use codec::{decode, encode};
pub use frames::FrameStream;
pub use link::Link;
pub(crate) use timeout::with_timeout;
