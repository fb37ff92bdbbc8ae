//! Follower of one prefix of the Object API.

mod follow;
mod update;

pub use follow::Feed;
pub use update::FeedUpdate;
