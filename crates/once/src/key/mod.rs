//! Issued request keys.

mod issuer;
mod request_key;

pub use issuer::{KeyIssuer, KeyStatus};
pub use request_key::{ParseKeyError, RequestKey};
