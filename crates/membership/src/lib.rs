//! Peer membership by gossip, without I/O.
//!
//! Each node probes one other node in each period, through others when it does not answer, and
//! passes on what it knows of members with the messages it sends anyway. What a node sends and
//! receives does not grow with the fleet. Time and randomness come in as arguments.
//!
//! Source: A. Das, I. Gupta, A. Motivala, "SWIM: Scalable Weakly-consistent Infection-style Process
//! Group Membership Protocol", DSN 2002.
//!
//! | module | what it holds |
//! |---|---|
//! | [`settings`] | periods and timeouts |
//! | [`member`] | a member, its state, and a rumour of both |
//! | [`message`] | what members send each other |
//! | `table` | what is known of every member, and which rumour overrides which |
//! | `rumours` | rumours still to be passed on |
//! | `probing` | the order of probes and the one under way |
//! | [`detector`] | the state machine that drivers use |
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
//! A whole run in virtual time, with a member that falls silent and returns, is in
//! `examples/silent_member.rs`: `cargo run -p celeryhaven-membership --example silent_member`.

pub mod detector;
pub mod member;
pub mod message;
mod probing;
mod rumours;
pub mod settings;
mod table;

pub use detector::{Membership, MembershipAction};
pub use member::{Member, MemberPhase, MemberState, MembershipUpdate};
pub use message::{Message, Probe};
pub use settings::MembershipSettings;
