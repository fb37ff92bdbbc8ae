use std::io;
use std::net::TcpStream;
use std::pin::Pin;
use std::task::{Context, Poll, ready};

use async_io::Async;
use celeryhaven_fair_io::ReadTurns;
use futures_lite::io::{AsyncRead, AsyncWrite};
use hyper::rt::{Read, ReadBufCursor, Write};

use crate::socket::ReadMeter;

/// Maximum number of bytes per read from the socket.
const READ_BYTES_MAX: usize = 8 * 1024;

/// Adapts a TCP socket of smol to `hyper`.
#[derive(Debug)]
pub struct SmolIo {
    stream: Async<TcpStream>,
    meter: Option<ReadMeter>,
    turns: ReadTurns,
}

impl SmolIo {
    /// Wraps a connected socket.
    pub fn new(stream: Async<TcpStream>) -> Self {
        Self { stream, meter: None, turns: ReadTurns::default() }
    }

    /// Counts what is read with a meter, and fails when that says so.
    pub(crate) fn with_meter(self, meter: ReadMeter) -> Self {
        Self { meter: Some(meter), ..self }
    }
}

impl Read for SmolIo {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        mut buf: ReadBufCursor<'_>,
    ) -> Poll<io::Result<()>> {
        if let Some(excess) = self.meter.as_ref().and_then(ReadMeter::excess) {
            return Poll::Ready(Err(excess.into()));
        }
        let mut chunk = [0; READ_BYTES_MAX];
        let capacity = buf.remaining().min(READ_BYTES_MAX);
        let Self { stream, turns, .. } = &mut *self;
        let read = ready!(
            turns.poll_read(cx, |cx| Pin::new(stream).poll_read(cx, &mut chunk[..capacity]))
        )?;
        if let Some(meter) = &self.meter {
            meter.record_read(read);
        }
        buf.put_slice(&chunk[..read]);
        Poll::Ready(Ok(()))
    }
}

impl Write for SmolIo {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write(cx, buf)
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_close(cx)
    }

    fn is_write_vectored(&self) -> bool {
        true
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write_vectored(cx, bufs)
    }
}
