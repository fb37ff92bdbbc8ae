//! Which source a node reads the store's objects from, so that it knows a change in time.
//!
//! A node follows one source: the store itself, or another node. A source that answers nothing for
//! longer than its poll may take is doubted: all other sources are polled at once, while the open
//! poll goes on, and the first that knows more than this node is followed from then on. Sources that
//! are tried one after the other would add up their timeouts.
//!
//! The crate performs no I/O: the caller passes the time, makes the polls and reports the replies.
//!
//! | type | purpose |
//! |---|---|
//! | [`SourceFollower`] | state of a node: which source it follows, which polls are due |
//! | [`Source`] | the store, or another node |
//! | [`Candidates`] | the sources that a node may follow |
//! | [`Action`], [`Poll`] | what the caller has to do |
//! | [`Reply`] | what a poll has brought |
//! | [`budget`] | the times that bound how late a change is known |

mod action;
pub mod budget;
mod candidates;
mod follower;
mod reply;
mod source;

pub use action::{Action, Poll, PollId, PollPurpose};
pub use candidates::Candidates;
pub use follower::SourceFollower;
pub use reply::Reply;
pub use source::Source;
