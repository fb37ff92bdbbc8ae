use std::cell::Cell;
use std::convert::Infallible;
use std::future::Future;
use std::io;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::pin::pin;
use std::rc::Rc;
use std::time::Duration;

use async_io::Async;
use bytes::Bytes;
use http::{Request, Response};
use http_body::Body;
use hyper::body::Incoming;
use hyper::server::conn::http1::Builder;
use hyper::service::service_fn;
use smol::{LocalExecutor, Timer};

use crate::incoming_body::IncomingBody;
use crate::server::{ConnectionCounts, ServerLimits, StopSignal};
use crate::socket::{ReadMeter, SmolIo, SmolTimer, bound_receive_buffers, set_tcp_options};

/// Delay after a failed accept, for example when no file descriptor is free.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);

/// Maximum time that bytes sent to a caller may stay unacknowledged.
const CALLER_TCP_USER_TIMEOUT: Duration = Duration::from_secs(5);

/// Accepts connections and passes their requests to a handler.
///
/// If a caller disconnects, the handler's future is dropped before the answer begins, and the body
/// of the answer is dropped afterwards.
#[derive(Debug)]
pub struct Listener {
    listener: Async<TcpListener>,
    limits: Rc<Cell<ServerLimits>>,
    counts: Rc<ConnectionCounts>,
    accepts_late: bool,
}

impl Listener {
    /// Binds a listener to an address.
    ///
    /// # Errors
    ///
    /// Returns an error if the address cannot be bound.
    pub fn bind(address: SocketAddr, limits: Rc<Cell<ServerLimits>>) -> io::Result<Self> {
        let listener = Async::<TcpListener>::bind(address)?;
        // Without the bound, requests are still served.
        bound_receive_buffers(listener.get_ref()).unwrap_or_default();
        Ok(Self { listener, limits, counts: Rc::default(), accepts_late: false })
    }

    /// Creates a listener from a socket that is already listening.
    ///
    /// # Errors
    ///
    /// Returns an error if the socket cannot be made non-blocking.
    pub fn from_socket(socket: TcpListener, limits: Rc<Cell<ServerLimits>>) -> io::Result<Self> {
        let listener = Async::new(socket)?;
        Ok(Self { listener, limits, counts: Rc::default(), accepts_late: false })
    }

    /// Accepts connections after the stop signal as well, and leaves open those that have had no request
    /// yet; the handler must close each with its answer.
    ///
    /// Otherwise they are reset, and their callers learn nothing.
    pub fn with_late_connections(self) -> Self {
        Self { accepts_late: true, ..self }
    }

    /// Returns the local address.
    ///
    /// # Errors
    ///
    /// Returns an error if the operating system does not provide the address.
    pub fn address(&self) -> io::Result<SocketAddr> {
        self.listener.get_ref().local_addr()
    }

    /// Returns the shared counts of connections.
    pub fn connection_counts(&self) -> Rc<ConnectionCounts> {
        self.counts.clone()
    }

    /// Accepts connections until the stop signal, or for ever with late connections.
    ///
    /// Connections that are open at the signal close once their exchange is complete.
    pub async fn serve<H, F, B>(
        self,
        executor: Rc<LocalExecutor<'static>>,
        stop: StopSignal,
        handler: H,
    ) where
        H: Fn(Request<IncomingBody>) -> F + Clone + 'static,
        F: Future<Output = Response<B>> + 'static,
        B: Body<Data = Bytes, Error: std::error::Error + Send + Sync> + 'static,
    {
        let mut is_late = false;
        loop {
            let accepted = smol::future::or(async { Some(self.listener.accept().await) }, async {
                match is_late {
                    true => std::future::pending().await,
                    false => stop.stopped().await,
                }
                None
            });
            match accepted.await {
                None if !self.accepts_late => return,
                None => is_late = true,
                Some(Ok((stream, _))) => {
                    let limits = self.limits.get();
                    let guard = ConnectionCounts::accept(&self.counts);
                    let stop = (stop.clone(), self.accepts_late);
                    let connection = serve_connection(stream, limits, stop, handler.clone());
                    let serve = async move {
                        connection.await;
                        drop(guard);
                    };
                    executor.spawn(serve).detach();
                }
                Some(Err(_)) => {
                    Timer::after(ACCEPT_RETRY_DELAY).await;
                }
            }
        }
    }
}

/// Serves a connection until it is closed, or until the stop signal and its exchange is complete.
///
/// With `spares_new`, the signal does not close a connection that has had no request yet.
async fn serve_connection<H, F, B>(
    stream: Async<TcpStream>,
    limits: ServerLimits,
    (stop, spares_new): (StopSignal, bool),
    handler: H,
) where
    H: Fn(Request<IncomingBody>) -> F + 'static,
    F: Future<Output = Response<B>> + 'static,
    B: Body<Data = Bytes, Error: std::error::Error + Send + Sync> + 'static,
{
    // Without the socket options the connection still works, but an unreachable caller keeps it
    // open for longer.
    set_tcp_options(stream.get_ref(), CALLER_TCP_USER_TIMEOUT).unwrap_or_default();
    let has_request = Rc::new(Cell::new(false));
    let has_request_now = has_request.clone();
    let meter = ReadMeter::default();
    let io = SmolIo::new(stream).with_meter(meter.clone());
    let service = service_fn(move |request: Request<Incoming>| {
        has_request_now.set(true);
        let answer = handler(request.map(|body| IncomingBody::new(body, meter.clone())));
        async move { Ok::<_, Infallible>(answer.await) }
    });
    let connection = Builder::new()
        .timer(SmolTimer)
        .header_read_timeout(limits.idle_timeout)
        .max_buf_size(limits.buffer_bytes())
        .auto_date_header(false)
        .serve_connection(io, service);
    let mut connection = pin!(connection);
    let completed = smol::future::or(async { Some(connection.as_mut().await) }, async {
        stop.stopped().await;
        None
    });
    if completed.await.is_none() {
        if has_request.get() || !spares_new {
            connection.as_mut().graceful_shutdown();
        }
        // An error affects only this connection.
        connection.await.unwrap_or_default();
    }
}
