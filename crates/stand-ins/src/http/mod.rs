//! A small HTTP server that can drop its connections at any time, for fault injection.

mod answer;
mod channel_body;
mod clock;
mod request;
mod serve;
mod server;

pub use answer::Answer;
pub use channel_body::{BodySender, channel_body};
pub use clock::unix_us;
pub use request::Request;
pub use serve::Serve;
pub use server::Server;
