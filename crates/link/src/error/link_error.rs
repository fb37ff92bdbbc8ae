use std::net::SocketAddr;

use snafu::Snafu;

/// Error on a link.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
#[non_exhaustive]
pub enum LinkError {
    /// A certificate or key file could not be read.
    #[snafu(display("{file}: cannot be read as PEM: {source}; check the file"))]
    Pem {
        /// Path of the file.
        file: String,
        /// Cause.
        source: rustls_pki_types::pem::Error,
    },
    /// A certificate does not name exactly one process of the fleet.
    #[snafu(display(
        "the certificate names neither NAME.node.celeryhaven nor NAME.operator.celeryhaven; \
         issue one that does"
    ))]
    NoIdentity,
    /// A certificate could not be parsed.
    #[snafu(display("the certificate cannot be parsed: {source}; issue a new one"))]
    Certificate {
        /// Cause.
        source: webpki::Error,
    },
    /// Key, certificate and certificate authority are invalid or do not match.
    #[snafu(display(
        "the certificate, key and authority cannot be used: {source}; check the files"
    ))]
    Tls {
        /// Cause.
        source: rustls::Error,
    },
    /// The certificate verifier or the QUIC configuration could not be created.
    #[snafu(display("the authority cannot be used: {message}; check the file"))]
    Authority {
        /// Cause.
        message: String,
    },
    /// The socket could not be opened.
    #[snafu(display("{address}: cannot listen: {source}; choose a free address"))]
    Bind {
        /// Address.
        address: SocketAddr,
        /// Cause.
        source: std::io::Error,
    },
    /// The connection could not be started.
    #[snafu(display("{address}: cannot connect: {source}"))]
    Dial {
        /// Address.
        address: SocketAddr,
        /// Cause.
        source: quinn::ConnectError,
    },
    /// The handshake failed.
    #[snafu(display("{address}: handshake failed: {source}; check both certificates"))]
    Connect {
        /// Address of the peer.
        address: SocketAddr,
        /// Cause.
        source: quinn::ConnectionError,
    },
    /// The link is closed.
    #[snafu(display("the link is closed: {source}"))]
    Closed {
        /// Cause.
        source: quinn::ConnectionError,
    },
    /// An operation timed out.
    #[snafu(display("{operation} took longer than {limit_ms} ms"))]
    TimedOut {
        /// Operation that timed out.
        operation: &'static str,
        /// Timeout, in milliseconds.
        limit_ms: u64,
    },
    /// A message or frame is larger than the limit.
    #[snafu(display(
        "message or frame of {found_bytes} bytes exceeds the limit of {limit_bytes} bytes"
    ))]
    TooLarge {
        /// Size found, in bytes.
        found_bytes: u64,
        /// Limit, in bytes.
        limit_bytes: u64,
    },
    /// A value could not be encoded.
    #[snafu(display("cannot encode the value: {source}"))]
    Encode {
        /// Cause.
        source: postcard::Error,
    },
    /// Received bytes could not be decoded as the expected type.
    #[snafu(display(
        "cannot decode the received bytes: {source}; the peer may run a different version"
    ))]
    Decode {
        /// Cause.
        source: postcard::Error,
    },
    /// Reading from a stream failed.
    #[snafu(display("cannot read from the stream: {message}"))]
    Read {
        /// Cause.
        message: String,
    },
    /// Writing to a stream failed.
    #[snafu(display("cannot write to the stream: {source}"))]
    StreamWrite {
        /// Cause.
        source: quinn::WriteError,
    },
    /// A recent connection attempt to the address failed, and the backoff has not elapsed.
    #[snafu(display("{address}: connection failed recently; next attempt in {retry_ms} ms"))]
    BackingOff {
        /// Address.
        address: SocketAddr,
        /// Time until the next attempt, in milliseconds.
        retry_ms: u64,
    },
}
