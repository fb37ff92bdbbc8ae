//! Connections whose reads leave turns to the other tasks of a thread.
//!
//! A parser reads for as long as its socket is ready, which a fast peer can make last for ever. No
//! other task of the thread runs then, nor a timer, so no time limit holds. A connection of this
//! crate yields after a few reads.
//!
//! | type | purpose |
//! |---|---|
//! | [`ReadTurns`] | decides when a connection yields |
//! | [`FairConnector`] | opens connections for `trillium-client` that yield |
//! | [`FairTransport`] | such a connection |

mod connector;
mod read_turns;
mod transport;

pub use connector::FairConnector;
pub use read_turns::ReadTurns;
pub use transport::FairTransport;
