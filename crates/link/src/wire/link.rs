use std::net::SocketAddr;

use quinn::Connection;
use rustls_pki_types::CertificateDer;
use serde::Serialize;
use serde::de::DeserializeOwned;
use smol::future::FutureExt;
use snafu::ResultExt;

use crate::endpoint::LinkLimits;
use crate::error::{ClosedSnafu, DecodeSnafu, EncodeSnafu, LinkError, StreamWriteSnafu};
use crate::identity::Identity;
use crate::wire::{FrameStream, with_timeout};

/// Maximum size of a message sent as a datagram, in bytes; fits the minimum MTU of QUIC.
const DATAGRAM_BYTES_MAX: usize = 1_100;

/// A connection to an authenticated peer process.
#[derive(Clone, Debug)]
pub struct Link {
    connection: Connection,
    peer: Identity,
    limits: LinkLimits,
}

impl Link {
    pub(crate) fn new(connection: Connection, limits: LinkLimits) -> Result<Self, LinkError> {
        let chain = connection
            .peer_identity()
            .and_then(|identity| identity.downcast::<Vec<CertificateDer<'static>>>().ok());
        let certificate = chain.as_ref().and_then(|chain| chain.first());
        let peer = certificate.map_or(Err(LinkError::NoIdentity), Identity::of_certificate)?;
        Ok(Self { connection, peer, limits })
    }

    /// Returns the identity in the certificate of the peer.
    pub fn peer(&self) -> &Identity {
        &self.peer
    }

    /// Returns the address of the peer.
    pub fn remote_address(&self) -> SocketAddr {
        self.connection.remote_address()
    }

    /// Whether the link is open.
    pub fn is_open(&self) -> bool {
        self.connection.close_reason().is_none()
    }

    /// Closes the link.
    pub fn close(&self) {
        self.connection.close(0u32.into(), b"closed");
    }

    /// Returns the number of UDP datagrams received so far; grows while the peer responds.
    pub fn received_packets(&self) -> u64 {
        self.connection.stats().udp_rx.datagrams
    }

    /// Returns the UDP payload bytes sent and received so far.
    pub fn transferred_bytes(&self) -> (u64, u64) {
        let stats = self.connection.stats();
        (stats.udp_tx.bytes, stats.udp_rx.bytes)
    }

    /// Sends a message; delivery is not guaranteed.
    pub async fn send<T: Serialize>(&self, message: &T) -> Result<(), LinkError> {
        let bytes = postcard::to_allocvec(message).context(EncodeSnafu)?;
        self.send_bytes(&bytes).await
    }

    /// Sends an encoded message; delivery is not guaranteed.
    pub async fn send_bytes(&self, bytes: &[u8]) -> Result<(), LinkError> {
        check_size(bytes.len(), self.limits.message_bytes)?;
        let limit = self.connection.max_datagram_size().unwrap_or(0).min(DATAGRAM_BYTES_MAX);
        if bytes.len() <= limit && self.connection.send_datagram(bytes.to_vec().into()).is_ok() {
            return Ok(());
        }
        let mut stream = self.connection.open_uni().await.context(ClosedSnafu)?;
        stream.write_all(bytes).await.context(StreamWriteSnafu)?;
        stream.finish().map_err(|_| LinkError::Read { message: "already finished".into() })
    }

    /// Waits for the next message.
    ///
    /// A message that cannot be decoded returns an error and leaves the link open.
    pub async fn receive<T: DeserializeOwned>(&self) -> Result<T, LinkError> {
        let bytes = self.receive_bytes().await?;
        postcard::from_bytes(&bytes).context(DecodeSnafu)
    }

    /// Waits for the next message, as bytes.
    pub async fn receive_bytes(&self) -> Result<Vec<u8>, LinkError> {
        let datagram = async {
            let bytes = self.connection.read_datagram().await.context(ClosedSnafu)?;
            Ok(Received::Datagram(bytes.to_vec()))
        };
        let stream = async {
            let stream = self.connection.accept_uni().await.context(ClosedSnafu)?;
            Ok(Received::Stream(stream))
        };
        match datagram.or(stream).await? {
            Received::Datagram(bytes) => Ok(bytes),
            Received::Stream(mut stream) => {
                let read = stream.read_to_end(self.limits.message_bytes);
                with_timeout("a message", self.limits.transfer_ms, read)
                    .await?
                    .map_err(|error| LinkError::Read { message: error.to_string() })
            }
        }
    }

    /// Opens a stream for one request and its answer.
    pub async fn open(&self) -> Result<FrameStream, LinkError> {
        let (send, receive) = self.connection.open_bi().await.context(ClosedSnafu)?;
        Ok(FrameStream::new(send, receive, self.limits))
    }

    /// Waits for the next stream opened by the peer.
    pub async fn accept(&self) -> Result<FrameStream, LinkError> {
        let (send, receive) = self.connection.accept_bi().await.context(ClosedSnafu)?;
        Ok(FrameStream::new(send, receive, self.limits))
    }
}

enum Received {
    Datagram(Vec<u8>),
    Stream(quinn::RecvStream),
}

pub(crate) fn check_size(found: usize, limit: usize) -> Result<(), LinkError> {
    match found <= limit {
        true => Ok(()),
        false => Err(LinkError::TooLarge { found_bytes: found as u64, limit_bytes: limit as u64 }),
    }
}
