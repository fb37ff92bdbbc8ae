//! The times that bound how late a change is known.
//!
//! | node | waits for | at most |
//! |---|---|---|
//! | follower of a silent relay | its poll to be overdue, a round for the other relays, the store | [`OVERDUE_MS`] + [`ROUND_MS`] + [`REPLY_MS`] |
//! | relay whose source is silent | the same; its followers are told once it has changes | the same |
//! | node whose sources have all lost the store | their polls to be overdue, the rounds in which a node that reaches the store is found | [`OVERDUE_MS`] + 2 x [`ROUND_MS`] + [`REPLY_MS`] |
//!
//! Sources of one node are polled at the same time and each relay searches for itself, so the times
//! add up neither over the sources of a node nor over the levels of the tree.

/// Time for which a followed source may wait for a change, in milliseconds.
pub const FOLLOW_WAIT_MS: u64 = 500;

/// Time beyond its wait after which a poll is overdue, in milliseconds.
pub const OVERDUE_SLACK_MS: u64 = 200;

/// Time after which a poll of the followed source is overdue, in milliseconds.
pub const OVERDUE_MS: u64 = FOLLOW_WAIT_MS + OVERDUE_SLACK_MS;

/// Time between two rounds in which other sources are polled, in milliseconds. It doubles after
/// [`SHORT_ROUNDS`] rounds, up to [`ROUND_MS_MAX`].
pub const ROUND_MS: u64 = 100;
/// Number of rounds at the shortest interval.
pub const SHORT_ROUNDS: u32 = 4;
/// Longest time between two rounds, in milliseconds.
pub const ROUND_MS_MAX: u64 = 400;

/// Time that a reply may take, in milliseconds.
pub const REPLY_MS: u64 = 50;

/// Time within which a node is to know a change, in milliseconds, if it reaches the store or any node
/// that does.
pub const KNOWN_MS_MAX: u64 = 1_000;

const _: () = assert!(OVERDUE_MS + 2 * ROUND_MS + REPLY_MS <= KNOWN_MS_MAX);
