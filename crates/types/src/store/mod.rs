//! Calls to the platform's Object API, and their replies.

mod object;
mod reply;
mod request;

pub use object::{Object, ObjectChange, ObjectKey, ObjectVersion};
pub use reply::StoreReply;
pub use request::{StoreCallId, StoreRequest};
