//! Recognises requests that end the targets that run them, and keeps them away from targets.
//!
//! The crate performs no I/O: the caller passes the time and carries out what is returned.
//!
//! | type | purpose |
//! |---|---|
//! | [`RequestDigest`] | identifies a request by its content, across attempts and nodes |

mod request_digest;

pub use request_digest::RequestDigest;
