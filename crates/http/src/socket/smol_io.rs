use std::io;
use std::net::TcpStream;
use std::pin::Pin;
use std::task::{Context, Poll, ready};

use async_io::Async;
use futures_lite::io::{AsyncRead, AsyncWrite};
use hyper::rt::{Read, ReadBufCursor, Write};

/// Maximum number of bytes per read from the socket.
const READ_BYTES_MAX: usize = 8 * 1024;

/// Adapts a TCP socket of smol to `hyper`.
#[derive(Debug)]
pub struct SmolIo {
    stream: Async<TcpStream>,
}

impl SmolIo {
    /// Wraps a connected socket.
    pub fn new(stream: Async<TcpStream>) -> Self {
        Self { stream }
    }
}

impl Read for SmolIo {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        mut buf: ReadBufCursor<'_>,
    ) -> Poll<io::Result<()>> {
        let mut chunk = [0; READ_BYTES_MAX];
        let capacity = buf.remaining().min(READ_BYTES_MAX);
        let read = ready!(Pin::new(&mut self.stream).poll_read(cx, &mut chunk[..capacity]))?;
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
