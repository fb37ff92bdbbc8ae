//! All log lines about one request.

mod request_timeline;

pub use request_timeline::request_timeline;
