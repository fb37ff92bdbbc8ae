//! A TCP link that can be cut.

mod tcp_relay;

pub use tcp_relay::Relay;
