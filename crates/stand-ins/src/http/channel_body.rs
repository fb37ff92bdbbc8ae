use std::io;
use std::pin::Pin;
use std::task::{Context, Poll, ready};

use async_channel::{Receiver, Sender};
use smol::io::AsyncRead;
use smol::stream::Stream;
use trillium_http::Body;

/// Sends the chunks of a streamed body. The channel is closed when the caller disconnects.
pub type BodySender = Sender<io::Result<Vec<u8>>>;

/// Creates a body that is sent in chunks. An error chunk aborts the connection.
///
/// The channel is unbounded, so that a slow reader does not delay the batch.
pub fn channel_body() -> (BodySender, Body) {
    let (sender, receiver) = async_channel::unbounded();
    let reader = ChannelReader { chunks: Box::pin(receiver), chunk: Vec::new(), read: 0 };
    (sender, Body::new_streaming(reader, None))
}

struct ChannelReader {
    chunks: Pin<Box<Receiver<io::Result<Vec<u8>>>>>,
    chunk: Vec<u8>,
    read: usize,
}

impl AsyncRead for ChannelReader {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buffer: &mut [u8],
    ) -> Poll<io::Result<usize>> {
        while self.read == self.chunk.len() {
            match ready!(self.chunks.as_mut().poll_next(cx)) {
                None => return Poll::Ready(Ok(0)),
                Some(Err(error)) => return Poll::Ready(Err(error)),
                Some(Ok(chunk)) => {
                    self.chunk = chunk;
                    self.read = 0;
                }
            }
        }
        let remaining = &self.chunk[self.read..];
        let length = remaining.len().min(buffer.len());
        buffer[..length].copy_from_slice(&remaining[..length]);
        self.read += length;
        Poll::Ready(Ok(length))
    }
}
