//! Requests that one node runs for another.
//!
//! A node that is isolated from the targets of a service delegates its callers' requests to peers.
//! The peer runs a request as the delegating node has resolved it, so that configurations of
//! different age are not mixed, and never delegates it further. A refusal says whether the request
//! may have run and how many targets it was sent to, so that both nodes together stay within what
//! the route allows.
//!
//! The crate performs no I/O: the caller sends the messages and passes time and randomness.
//!
//! | type | purpose |
//! |---|---|
//! | [`DelegatedRequest`] | what a peer must know of a request besides its own head and body |
//! | [`DelegationRefusal`] | why a peer gives no answer of a target |
//! | [`PeerSet`] | the peers, and the choice of one |
//! | [`Peer`] | a peer to which requests may be delegated |

mod message;
mod peer;
mod peer_set;

pub use message::{DelegatedRequest, DelegationRefusal, TargetNotice};
pub use peer::Peer;
pub use peer_set::PeerSet;
