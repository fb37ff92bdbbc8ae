//! Peer membership by gossip, without I/O.
//!
//! Each node probes one other node per period, indirectly through others if it does not answer, and
//! piggybacks membership updates on these messages. The load of a node does not grow with the
//! fleet. The time and the seed are arguments.
//!
//! Source: A. Das, I. Gupta, A. Motivala, "SWIM: Scalable Weakly-consistent Infection-style Process
//! Group Membership Protocol", DSN 2002.
//!
//! | module | contents |
//! |---|---|
//! | [`settings`] | periods and timeouts |
//! | [`member`] | a member, its state, and updates of both |
//! | [`message`] | messages between members |
//! | `table` | the current record of every member, and the precedence of updates |
//! | `gossip` | updates to forward |
//! | `probing` | the probe order and the pending probe |
//! | [`detector`] | the state machine and its actions |
//!
//! ```
//! use celeryhaven_membership::{Member, Membership, MembershipSettings};
//! use celeryhaven_types::{Boot, DataCentreName, Incarnation, NodeName, TimeMs};
//!
//! let me = Member::new(
//!     Incarnation::new(NodeName::new("entry-1"), Boot::new(1)),
//!     "127.0.0.1:7001".parse().expect("an address"),
//!     DataCentreName::new("riga-1"),
//! );
//! let membership = Membership::new(TimeMs::new(0), me, MembershipSettings::default(), 7);
//! assert_eq!(membership.live().count(), 1);
//! ```
//!
//! `examples/silent_member.rs` runs four members in virtual time, one of which falls silent and
//! returns: `cargo run -p celeryhaven-membership --example silent_member`.

pub mod detector;
mod gossip;
pub mod member;
pub mod message;
mod probing;
pub mod settings;
mod table;

pub use detector::{Membership, MembershipAction};
pub use member::{Member, MemberPhase, MemberState, MembershipUpdate};
pub use message::{Message, Probe};
pub use settings::MembershipSettings;
