//! Feeds: each follows the objects of one kind, at the store or at another node.
//!
//! | file | what it holds |
//! |---|---|
//! | `poller` | a poll of the store or of another node, and what it has brought |
//! | `feed` | the state of a feed, and the loop of those that read from the source of the lead |
//! | `lead` | the loop of the lead, the feed whose polls find out which source answers |
//! | `shared_source` | the source that all feeds of a node follow |

#[expect(clippy::module_inception, reason = "the file of the type that the module is named after")]
mod feed;
mod lead;
mod poller;
mod shared_source;

pub(crate) use feed::Feed;
pub(crate) use poller::Poller;
pub(crate) use shared_source::SharedSource;
