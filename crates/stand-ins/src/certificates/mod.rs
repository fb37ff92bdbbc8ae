//! Certificates for tests and the demo: one certificate authority, nodes and operators.

mod write;

pub use write::{CertificatesError, write_certificates};
