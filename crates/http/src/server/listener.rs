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

use crate::server::{ServerLimits, StopSignal};
use crate::socket::{SmolIo, SmolTimer, set_silence_timeout};

/// Pause after an accept that failed, such as for want of descriptors.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);

/// How long a caller may leave bytes unacknowledged before its connection is given up.
const CALLER_SILENCE: Duration = Duration::from_secs(5);

/// Accepts connections and hands their requests to a handler.
///
/// A handler's future is dropped when its caller closes the connection before the answer begins;
/// an answer's body is dropped when the caller leaves in the middle of it.
#[derive(Debug)]
pub struct Listener {
    listener: Async<TcpListener>,
    limits: Rc<Cell<ServerLimits>>,
    open: Rc<Cell<usize>>,
}

impl Listener {
    /// Listens at an address.
    ///
    /// # Errors
    ///
    /// The address cannot be had.
    pub fn bind(address: SocketAddr, limits: Rc<Cell<ServerLimits>>) -> io::Result<Self> {
        let listener = Async::<TcpListener>::bind(address)?;
        Ok(Self { listener, limits, open: Rc::default() })
    }

    /// Takes over a socket that listens already, such as one that another thread has opened.
    ///
    /// # Errors
    ///
    /// The socket cannot be used without blocking.
    pub fn from_socket(socket: TcpListener, limits: Rc<Cell<ServerLimits>>) -> io::Result<Self> {
        Ok(Self { listener: Async::new(socket)?, limits, open: Rc::default() })
    }

    /// Where it listens.
    ///
    /// # Errors
    ///
    /// The system does not tell.
    pub fn address(&self) -> io::Result<SocketAddr> {
        self.listener.get_ref().local_addr()
    }

    /// Counts the connections that are open.
    pub fn open(&self) -> Rc<Cell<usize>> {
        self.open.clone()
    }

    /// Serves until the stop signal; connections end by themselves after it.
    pub async fn serve<H, F, B>(
        self,
        executor: Rc<LocalExecutor<'static>>,
        stop: StopSignal,
        handler: H,
    ) where
        H: Fn(Request<Incoming>) -> F + Clone + 'static,
        F: Future<Output = Response<B>> + 'static,
        B: Body<Data = Bytes, Error: std::error::Error + Send + Sync> + 'static,
    {
        loop {
            let accepted = smol::future::or(async { Some(self.listener.accept().await) }, async {
                stop.stopped().await;
                None
            });
            match accepted.await {
                None => return,
                Some(Ok((stream, _))) => {
                    let limits = self.limits.get();
                    let guard = Open::new(self.open.clone());
                    let connection = serve_one(stream, limits, stop.clone(), handler.clone());
                    let serve = async move {
                        connection.await;
                        drop(guard);
                    };
                    executor.spawn(serve).detach();
                }
                Some(Err(_)) => {
                    Timer::after(ACCEPT_PAUSE).await;
                }
            }
        }
    }
}

struct Open(Rc<Cell<usize>>);

impl Open {
    fn new(count: Rc<Cell<usize>>) -> Self {
        count.set(count.get() + 1);
        Self(count)
    }
}

impl Drop for Open {
    fn drop(&mut self) {
        self.0.set(self.0.get().saturating_sub(1));
    }
}

async fn serve_one<H, F, B>(
    stream: Async<TcpStream>,
    limits: ServerLimits,
    stop: StopSignal,
    handler: H,
) where
    H: Fn(Request<Incoming>) -> F + 'static,
    F: Future<Output = Response<B>> + 'static,
    B: Body<Data = Bytes, Error: std::error::Error + Send + Sync> + 'static,
{
    // A socket without the options still serves; a silent caller then holds it for longer.
    set_silence_timeout(stream.get_ref(), CALLER_SILENCE).unwrap_or_default();
    let service = service_fn(move |request| {
        let answer = handler(request);
        async move { Ok::<_, Infallible>(answer.await) }
    });
    let connection = Builder::new()
        .timer(SmolTimer)
        .header_read_timeout(limits.idle)
        .max_buf_size(limits.buffer_bytes())
        .auto_date_header(false)
        .serve_connection(SmolIo::new(stream), service);
    let mut connection = pin!(connection);
    let ended = smol::future::or(async { Some(connection.as_mut().await) }, async {
        stop.stopped().await;
        None
    });
    if ended.await.is_none() {
        connection.as_mut().graceful_shutdown();
        // A caller that breaks off ends its own connection and nothing else.
        connection.await.unwrap_or_default();
    }
}
