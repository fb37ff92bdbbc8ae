use std::any::Any;
use std::convert::Infallible;
use std::io::{self, ErrorKind};
use std::net::SocketAddr;
use std::pin::Pin;
use std::task::{Context, Poll};
use std::time::{Duration, Instant};

use smol::Timer;
use smol::future::Future;
use smol::io::{AsyncRead, AsyncWrite};
use smol::net::TcpStream;
use smol::net::unix::UnixStream;
use trillium::{Conn, Transport};
use trillium_server_common::{Acceptor, Binding};
use trillium_smol::SmolTransport;

/// How long a connection may be idle between two requests.
const IDLE_TIMEOUT: Duration = Duration::from_secs(60);

/// A connection as accepted by the server.
type Socket = Binding<SmolTransport<TcpStream>, SmolTransport<UnixStream>>;

/// Maximum number of bytes read from a connection while its request waits for an answer.
///
/// Reading detects a disconnect. Beyond this limit, which bounds memory, a disconnect is detected
/// only when the answer is written.
const READ_AHEAD_BYTES_MAX: usize = 64 << 10;

/// Wraps callers' connections in [`GuardedTransport`].
#[derive(Clone, Copy, Debug)]
pub(crate) struct Guard {
    /// Time limit for the first byte of a new connection; twice that for a request's head and body.
    pub(crate) read_timeout: Duration,
}

impl Acceptor<Socket> for Guard {
    type Output = GuardedTransport;
    type Error = Infallible;

    async fn accept(&self, input: Socket) -> Result<GuardedTransport, Infallible> {
        Ok(GuardedTransport::new(input, self.read_timeout))
    }

    fn is_secure(&self) -> bool {
        false
    }
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Phase {
    /// No byte of the next request was received yet.
    Idle,
    /// A request is being received.
    Reading,
    /// A complete request waits for its answer.
    Answering,
}

/// A caller's connection, closed when the caller sends a request or reads an answer too slowly.
///
/// The HTTP library itself has no time limit for incomplete requests. Received bytes do not extend
/// the deadline, so trickling a request does not keep the connection open.
pub(crate) struct GuardedTransport {
    inner: Socket,
    read_timeout: Duration,
    phase: Phase,
    deadline: Timer,
    stalled: Option<Timer>,
    ahead_bytes: usize,
}

impl GuardedTransport {
    fn new(inner: Socket, read_timeout: Duration) -> Self {
        // The first byte on a new connection is due within the read timeout.
        Self {
            inner,
            read_timeout,
            phase: Phase::Idle,
            deadline: Timer::after(read_timeout),
            stalled: None,
            ahead_bytes: 0,
        }
    }

    /// Suspends the read deadline of a handler's connection until its answer begins.
    pub(crate) fn pause(conn: &mut Conn) {
        let inner: &mut trillium_http::Conn<Box<dyn Transport>> = conn.as_mut();
        let mut transport: &mut dyn Any = &mut **inner.transport_mut();
        // The server may have boxed the transport more than once.
        while transport.is::<Box<dyn Transport>>() {
            let Some(boxed) = transport.downcast_mut::<Box<dyn Transport>>() else { return };
            transport = &mut **boxed;
        }
        if let Some(guard) = transport.downcast_mut::<Self>() {
            guard.phase = Phase::Answering;
            guard.ahead_bytes = 0;
        }
    }

    /// Whether the caller has not read its answer for too long.
    fn is_stalled(&mut self, cx: &mut Context<'_>) -> bool {
        let limit = self.read_timeout * 2;
        let stalled = self.stalled.get_or_insert_with(|| Timer::after(limit));
        Pin::new(stalled).poll(cx).is_ready()
    }

    fn is_overdue(&mut self, cx: &mut Context<'_>) -> bool {
        self.phase != Phase::Answering && Pin::new(&mut self.deadline).poll(cx).is_ready()
    }
}

impl AsyncRead for GuardedTransport {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut [u8],
    ) -> Poll<io::Result<usize>> {
        if self.phase == Phase::Answering && self.ahead_bytes >= READ_AHEAD_BYTES_MAX {
            return Poll::Pending;
        }
        let read = Pin::new(&mut self.inner).poll_read(cx, buf);
        match &read {
            Poll::Ready(Ok(bytes)) if self.phase == Phase::Answering => self.ahead_bytes += bytes,
            Poll::Ready(Ok(1..)) if self.phase == Phase::Idle => {
                self.phase = Phase::Reading;
                let limit = self.read_timeout * 2;
                self.deadline.set_after(limit);
            }
            _ => {}
        }
        match self.is_overdue(cx) {
            true => Poll::Ready(Err(ErrorKind::TimedOut.into())),
            false => read,
        }
    }
}

impl AsyncWrite for GuardedTransport {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        let written = Pin::new(&mut self.inner).poll_write(cx, buf);
        if matches!(written, Poll::Ready(Ok(_))) && self.phase != Phase::Idle {
            self.phase = Phase::Idle;
        }
        match &written {
            Poll::Ready(Ok(_)) => {
                self.deadline.set_at(Instant::now() + IDLE_TIMEOUT);
                self.stalled = None;
                written
            }
            Poll::Pending if self.is_stalled(cx) => Poll::Ready(Err(ErrorKind::TimedOut.into())),
            _ => written,
        }
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.inner).poll_flush(cx)
    }

    fn poll_close(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.inner).poll_close(cx)
    }
}

impl Transport for GuardedTransport {
    fn peer_addr(&self) -> io::Result<Option<SocketAddr>> {
        self.inner.peer_addr()
    }

    fn set_nodelay(&mut self, nodelay: bool) -> io::Result<()> {
        self.inner.set_nodelay(nodelay)
    }
}
