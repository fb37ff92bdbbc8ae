//! All log lines about one request.

mod request_story;

pub use request_story::story;
