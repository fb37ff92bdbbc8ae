//! Errors of links.

mod link_error;

pub use link_error::LinkError;
pub(crate) use link_error::{
    BindSnafu, CertificateSnafu, ClosedSnafu, ConnectSnafu, DecodeSnafu, DialSnafu, EncodeSnafu,
    NoIdentitySnafu, PemSnafu, StreamWriteSnafu, TlsSnafu,
};
