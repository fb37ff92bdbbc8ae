use std::io::{self, ErrorKind};
use std::net::{Shutdown, SocketAddr};
use std::pin::Pin;
use std::sync::atomic::{AtomicBool, AtomicU8, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::task::{Context, Poll};

use celeryhaven_types::TimeMs;
use smol::io::{AsyncRead, AsyncWrite};
use smol::net::TcpStream;
use trillium_server_common::Transport;

use crate::forward::attempt::Reporter;
use crate::forward::idle::IdleConnections;
use crate::forward::on_sent::OnSent;
use celeryhaven_clock::BootClock;

/// How far an attempt has come.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Progress {
    /// No byte has left.
    Unsent,
    /// No byte has left, and none will: it was too late.
    Expired,
    /// No byte has left, and none will: it was stopped.
    Stopped,
    /// The first byte is leaving or has left.
    Sent,
}

const STEPS: [Progress; 4] =
    [Progress::Unsent, Progress::Expired, Progress::Stopped, Progress::Sent];

/// Decides, at the very moment the first byte would leave, whether it may.
///
/// Guards against a process that is paused after the decision to send: when it wakes, the time of
/// the decision has passed, the caller may have been told otherwise, and the target may belong to
/// another replica. The clock is read here, in the write call itself, so that nothing but the
/// kernel's own socket stands between the check and the byte. The step from [`Progress::Unsent`] is
/// taken once, by whichever of sending, expiry and stopping comes first.
///
/// ```
/// use celeryhaven_entry::forward::{Gate, Progress};
/// use celeryhaven_types::TimeMs;
/// let late = Gate::new(TimeMs::new(0), || {});
/// assert!(late.permit_write().is_err());
/// assert_eq!(late.progress(), Progress::Expired);
/// ```
pub struct Gate<S> {
    send_before: TimeMs,
    clock: BootClock,
    progress: AtomicU8,
    whole: AtomicBool,
    stream: Mutex<Option<TcpStream>>,
    on_sent: S,
}

impl<S: OnSent> Gate<S> {
    /// A gate that lets the first byte through until `send_before` and tells `on_sent` of it.
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

    /// How far it has come.
    pub fn progress(&self) -> Progress {
        STEPS[usize::from(self.progress.load(Ordering::Acquire))]
    }

    /// Notes that the whole answer was read, so that the connection may serve another request.
    pub(crate) fn set_whole(&self) {
        self.whole.store(true, Ordering::Release);
    }

    pub(crate) fn is_whole(&self) -> bool {
        self.whole.load(Ordering::Acquire)
    }

    /// Stops the attempt: no byte leaves any more, and an open connection is closed at once.
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

    /// Asks to send the next bytes; an error if none may leave.
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

/// A connection whose first byte passes a [`Gate`], and which is used again only after a whole
/// answer.
///
/// Guards against crossed answers: an exchange that was cancelled, broke or timed out may still
/// have bytes on the way, and the next request on the connection would read them as its own.
pub(crate) struct GatedTransport {
    stream: TcpStream,
    address: SocketAddr,
    gate: Arc<Gate<Reporter>>,
    idle: Arc<IdleConnections>,
    closed: bool,
}

impl GatedTransport {
    pub(crate) fn new(
        stream: TcpStream,
        address: SocketAddr,
        gate: Arc<Gate<Reporter>>,
        idle: Arc<IdleConnections>,
    ) -> Self {
        gate.hold(&stream);
        Self { stream, address, gate, idle, closed: false }
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
        Pin::new(&mut self.stream).poll_read(cx, buf)
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
