//! What nodes tell each other: relays answer those that follow them, deciders take suspicions.

mod address;
mod codec;
mod messages;
mod peer_client;
mod peer_server;
mod question;
mod relay_log;
mod relay_state;

pub(crate) use address::RelayAddress;
pub(crate) use messages::DemandReport;
pub(crate) use peer_client::{ANSWER_SLACK_MS, ask_relay, send_suspicion};
pub(crate) use peer_server::answer_peer;
pub(crate) use question::{Question, Until};
pub(crate) use relay_state::{Relay, Source};
