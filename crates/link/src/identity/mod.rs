//! Certificate-based process identity.

mod credentials;
mod name;
mod verifier;

pub use credentials::Credentials;
pub use name::{Identity, Role};
pub(crate) use verifier::{ClientRoleVerifier, NodeServerVerifier, provider};
