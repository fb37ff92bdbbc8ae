use std::io::{self, ErrorKind};
use std::net::{Shutdown, SocketAddr};
use std::pin::Pin;
use std::sync::atomic::{AtomicBool, AtomicU8, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::task::{Context, Poll};

use celeryhaven_fair_io::ReadTurns;
use celeryhaven_types::TimeMs;
use smol::io::{AsyncRead, AsyncWrite};
use smol::net::TcpStream;
use trillium_server_common::Transport;

use crate::forward::attempt::Reporter;
use crate::forward::idle::IdleConnections;
use crate::forward::on_sent::OnSent;
use celeryhaven_clock::BootClock;

/// Progress of an attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Progress {
    /// No byte has been sent.
    Unsent,
    /// No byte has been or will be sent, because the time to send has passed.
    Expired,
    /// No byte has been or will be sent, because the attempt was stopped.
    Stopped,
    /// The first byte is being sent or has been sent.
    Sent,
}

const STEPS: [Progress; 4] =
    [Progress::Unsent, Progress::Expired, Progress::Stopped, Progress::Sent];

/// Permits or denies the first byte of an attempt at the moment of the write.
///
/// Keeps a process that was paused after the decision to send from sending an expired request. The
/// transition from [`Progress::Unsent`] happens once, by the first of sending, expiry and stopping.
///
/// ```
/// use celeryhaven_entry::forward::{SendGate, Progress};
/// use celeryhaven_types::TimeMs;
/// let late = SendGate::new(TimeMs::new(0), || {});
/// assert!(late.permit_write().is_err());
/// assert_eq!(late.progress(), Progress::Expired);
/// ```
pub struct SendGate<S> {
    send_before: TimeMs,
    clock: BootClock,
    progress: AtomicU8,
    whole: AtomicBool,
    stream: Mutex<Option<TcpStream>>,
    on_sent: S,
}

impl<S: OnSent> SendGate<S> {
    /// Creates a gate that permits the first byte until `send_before`, and then calls `on_sent`.
    pub fn new(send_before: TimeMs, on_sent: S) -> Self {
        Self {
            send_before,
            clock: BootClock,
            progress: AtomicU8::new(0),
            whole: AtomicBool::new(false),
            stream: Mutex::new(None),
            on_sent,
        }
    }

    /// Returns the progress of the attempt.
    pub fn progress(&self) -> Progress {
        STEPS[usize::from(self.progress.load(Ordering::Acquire))]
    }

    /// Records that the complete answer was read, so that the connection may be reused.
    pub(crate) fn set_whole(&self) {
        self.whole.store(true, Ordering::Release);
    }

    pub(crate) fn is_whole(&self) -> bool {
        self.whole.load(Ordering::Acquire)
    }

    /// Stops the attempt: denies further bytes and closes an open connection.
    pub fn stop(&self) {
        self.step(Progress::Stopped);
        let stream = self.stream.lock().unwrap_or_else(PoisonError::into_inner).take();
        if let Some(stream) = stream {
            let _ = stream.shutdown(Shutdown::Both);
        }
    }

    fn hold(&self, stream: &TcpStream) {
        *self.stream.lock().unwrap_or_else(PoisonError::into_inner) = Some(stream.clone());
    }

    fn step(&self, to: Progress) -> bool {
        let to = STEPS.iter().position(|step| *step == to).unwrap_or_default() as u8;
        self.progress.compare_exchange(0, to, Ordering::AcqRel, Ordering::Acquire).is_ok()
    }

    /// Requests permission to send the next bytes.
    ///
    /// # Errors
    ///
    /// The time to send has passed, or the attempt was stopped.
    pub fn permit_write(&self) -> io::Result<()> {
        match self.progress() {
            Progress::Sent => Ok(()),
            Progress::Unsent if self.clock.now() > self.send_before => {
                self.step(Progress::Expired);
                Err(ErrorKind::TimedOut.into())
            }
            Progress::Unsent if self.step(Progress::Sent) => {
                self.on_sent.on_sent();
                Ok(())
            }
            _ => Err(ErrorKind::ConnectionAborted.into()),
        }
    }
}

/// A connection whose first byte needs the permission of a [`SendGate`].
///
/// It is reused only after a complete answer: otherwise the next request could read the remaining
/// bytes of the previous answer as its own.
pub(crate) struct GatedTransport {
    stream: TcpStream,
    address: SocketAddr,
    gate: Arc<SendGate<Reporter>>,
    idle: Arc<IdleConnections>,
    turns: ReadTurns,
    closed: bool,
}

impl GatedTransport {
    pub(crate) fn new(
        stream: TcpStream,
        address: SocketAddr,
        gate: Arc<SendGate<Reporter>>,
        idle: Arc<IdleConnections>,
    ) -> Self {
        gate.hold(&stream);
        Self { stream, address, gate, idle, turns: ReadTurns::default(), closed: false }
    }
}

impl Drop for GatedTransport {
    fn drop(&mut self) {
        if !self.closed && self.gate.is_whole() {
            self.idle.put(self.address, self.stream.clone());
        }
    }
}

impl AsyncRead for GatedTransport {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut [u8],
    ) -> Poll<io::Result<usize>> {
        let Self { stream, turns, .. } = &mut *self;
        turns.poll_read(cx, |cx| Pin::new(stream).poll_read(cx, buf))
    }
}

impl AsyncWrite for GatedTransport {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        self.gate.permit_write()?;
        Pin::new(&mut self.stream).poll_write(cx, buf)
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(cx)
    }

    fn poll_close(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        self.closed = true;
        Pin::new(&mut self.stream).poll_close(cx)
    }
}

impl Transport for GatedTransport {
    fn peer_addr(&self) -> io::Result<Option<SocketAddr>> {
        Ok(Some(self.address))
    }
}
