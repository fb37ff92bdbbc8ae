use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

use async_io::Async;
use http::{Request, Response};
use hyper::client::conn::http1::{Builder, SendRequest};
use smol::{LocalExecutor, Task, Timer};
use snafu::ResultExt;

use crate::client::error::{ConnectSnafu, ExchangeFailedSnafu, InvalidAnswerSnafu};
use crate::client::framing::check_head;
use crate::client::{ConnectionError, RequestBody};
use crate::incoming_body::IncomingBody;
use crate::socket::{MessagePart, ReadMeter, SmolIo, set_tcp_options};

/// Longest head of an answer, and most bytes that a connection reads ahead.
const READ_AHEAD_BYTES_MAX: usize = 64 * 1024;

/// A connection to a target, which carries one exchange at a time.
///
/// Dropping it closes the connection at once, which cancels a running request at the target.
#[derive(Debug)]
pub struct Connection {
    sender: SendRequest<RequestBody>,
    meter: ReadMeter,
    _driver: Task<()>,
}

impl Connection {
    /// Connects to a target.
    ///
    /// `tcp_user_timeout` is the maximum time that sent bytes may stay unacknowledged.
    ///
    /// # Errors
    ///
    /// Returns an error if no connection is established within `timeout`.
    pub async fn connect(
        executor: &LocalExecutor<'_>,
        address: SocketAddr,
        timeout: Duration,
        tcp_user_timeout: Duration,
    ) -> Result<Self, ConnectionError> {
        let timed_out = async {
            Timer::after(timeout).await;
            Err(ConnectionError::ConnectTimeout { timeout_ms: timeout.as_millis() as u64 })
        };
        let connect = async { Async::<TcpStream>::connect(address).await.context(ConnectSnafu) };
        let stream = smol::future::or(connect, timed_out).await?;
        set_tcp_options(stream.get_ref(), tcp_user_timeout).context(ConnectSnafu)?;
        let mut builder = Builder::new();
        builder.max_buf_size(READ_AHEAD_BYTES_MAX);
        let meter = ReadMeter::default();
        let handshake = builder.handshake(SmolIo::new(stream).with_meter(meter.clone()));
        let (sender, driver) = handshake.await.context(ExchangeFailedSnafu)?;
        // The sender reports a connection error: a running exchange fails, an idle sender closes.
        let task = executor.spawn(async move { driver.await.unwrap_or_default() });
        Ok(Self { sender, meter, _driver: task })
    }

    /// Sends a request and waits for the head of its answer.
    ///
    /// # Errors
    ///
    /// Returns [`ConnectionError::Closed`] if nothing was sent, and another error if the
    /// request may have been sent. The connection must not be used again then.
    pub async fn send(
        &mut self,
        request: Request<RequestBody>,
    ) -> Result<Response<IncomingBody>, ConnectionError> {
        self.meter.enter(MessagePart::Head);
        let mut response =
            self.sender.try_send_request(request).await.map_err(|mut unsent| {
                match (unsent.take_message(), self.meter.excess()) {
                    (Some(_), _) => ConnectionError::Closed,
                    (None, Some(excess)) => excess.into(),
                    (None, None) => ConnectionError::ExchangeFailed { source: unsent.into_error() },
                }
            })?;
        check_head(&mut response).context(InvalidAnswerSnafu)?;
        Ok(response.map(|body| IncomingBody::new(body, self.meter.clone())))
    }

    /// Whether the last exchange is complete and the connection is open.
    ///
    /// Unexpected bytes from the target close the connection, so that a late answer is never read
    /// as the answer to the next request.
    pub fn is_idle(&self) -> bool {
        self.sender.is_ready()
    }

    /// Waits until the last exchange is complete; returns whether the connection is still open.
    pub async fn wait_idle(&mut self) -> bool {
        self.sender.ready().await.is_ok()
    }
}
