//! All that the logs say of one request.

mod request_story;

pub use request_story::story;
