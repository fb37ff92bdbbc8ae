//! Requests between nodes: followers poll relays, and coordinators receive suspicions.

mod codec;
mod messages;
mod peer_address;
mod peer_client;
mod peer_server;
mod relay_log;
mod relay_request;
mod relay_state;

pub(crate) use messages::DemandReport;
pub(crate) use peer_address::PeerAddress;
pub(crate) use peer_client::{ask_ends, poll_relay, send_crashes, send_quiet, send_suspicion};
pub(crate) use peer_server::answer_peer_request;
pub(crate) use relay_request::{RelayRequest, WaitFor};
pub(crate) use relay_state::RelayState;
