use quinn::{RecvStream, SendStream};
use serde::Serialize;
use serde::de::DeserializeOwned;
use snafu::ResultExt;

use crate::endpoint::LinkLimits;
use crate::error::{DecodeSnafu, EncodeSnafu, LinkError, StreamWriteSnafu};
use crate::wire::link::check_size;
use crate::wire::with_timeout;

/// A bidirectional stream of frames: a `u32` little-endian length, then postcard.
#[derive(Debug)]
pub struct FrameStream {
    send: SendStream,
    receive: RecvStream,
    limits: LinkLimits,
}

impl FrameStream {
    pub(crate) fn new(send: SendStream, receive: RecvStream, limits: LinkLimits) -> Self {
        Self { send, receive, limits }
    }

    /// Sends one frame.
    pub async fn send<T: Serialize>(&mut self, value: &T) -> Result<(), LinkError> {
        let body = postcard::to_allocvec(value).context(EncodeSnafu)?;
        check_size(body.len(), self.limits.frame_bytes)?;
        let length = u32::try_from(body.len()).unwrap_or(u32::MAX);
        self.send.write_all(&length.to_le_bytes()).await.context(StreamWriteSnafu)?;
        self.send.write_all(&body).await.context(StreamWriteSnafu)
    }

    /// Closes the sending side; the peer receives no further frame.
    pub fn finish(&mut self) -> Result<(), LinkError> {
        self.send.finish().map_err(|_| LinkError::Read { message: "already finished".into() })
    }

    /// Waits for the next frame; `None` if the peer finished the stream between two frames.
    ///
    /// # Errors
    ///
    /// Fails if the stream ends within a frame, so that a truncated answer is never accepted.
    pub async fn receive<T: DeserializeOwned>(&mut self) -> Result<Option<T>, LinkError> {
        let Some(length) = self.receive_length().await? else { return Ok(None) };
        check_size(length, self.limits.frame_bytes)?;
        let mut body = vec![0; length];
        with_timeout("a frame", self.limits.transfer_ms, self.receive.read_exact(&mut body))
            .await?
            .map_err(|error| LinkError::Read { message: error.to_string() })?;
        postcard::from_bytes(&body).map(Some).context(DecodeSnafu)
    }

    /// Waits for the next frame for at most `limit_ms`.
    pub async fn receive_within<T: DeserializeOwned>(
        &mut self,
        limit_ms: u64,
    ) -> Result<Option<T>, LinkError> {
        with_timeout("an answer", limit_ms, self.receive()).await?
    }

    async fn receive_length(&mut self) -> Result<Option<usize>, LinkError> {
        let mut length = [0; 4];
        let mut filled = 0;
        while filled < length.len() {
            let read = self.receive.read(&mut length[filled..]).await;
            match read.map_err(|error| LinkError::Read { message: error.to_string() })? {
                Some(count) => filled += count,
                None if filled == 0 => return Ok(None),
                None => return Err(LinkError::Read { message: "ended within a frame".into() }),
            }
        }
        Ok(Some(u32::from_le_bytes(length) as usize))
    }
}
