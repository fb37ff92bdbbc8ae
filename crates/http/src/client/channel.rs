use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

use async_io::Async;
use bytes::Bytes;
use http::{Request, Response};
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::client::conn::http1::{SendRequest, handshake};
use smol::{LocalExecutor, Task, Timer};
use snafu::ResultExt;

use crate::client::ChannelError;
use crate::client::error::{BrokenSnafu, ConnectSnafu};
use crate::socket::{SmolIo, set_silence_timeout};

/// One connection to a target, which carries one exchange at a time.
///
/// Dropping it closes the connection at once, which is how a target learns that a request was
/// given up.
#[derive(Debug)]
pub struct Channel {
    sender: SendRequest<Full<Bytes>>,
    _connection: Task<()>,
}

impl Channel {
    /// Connects to a target.
    ///
    /// `silence` is how long the target may leave bytes unacknowledged.
    ///
    /// # Errors
    ///
    /// No connection within `timeout`; nothing was sent.
    pub async fn connect(
        executor: &LocalExecutor<'_>,
        address: SocketAddr,
        timeout: Duration,
        silence: Duration,
    ) -> Result<Self, ChannelError> {
        let late = async {
            Timer::after(timeout).await;
            Err(ChannelError::ConnectTimeout { timeout_ms: timeout.as_millis() as u64 })
        };
        let connect = async { Async::<TcpStream>::connect(address).await.context(ConnectSnafu) };
        let stream = smol::future::or(connect, late).await?;
        set_silence_timeout(stream.get_ref(), silence).context(ConnectSnafu)?;
        let (sender, connection) = handshake(SmolIo::new(stream)).await.context(BrokenSnafu)?;
        // Its end shows at the sender: an exchange in progress fails, an idle channel is closed.
        let task = executor.spawn(async move { connection.await.unwrap_or_default() });
        Ok(Self { sender, _connection: task })
    }

    /// Sends a request and waits for the head of its answer.
    ///
    /// # Errors
    ///
    /// [`ChannelError::Ended`] if nothing was sent, [`ChannelError::Broken`] if bytes may have left.
    pub async fn send(
        &mut self,
        request: Request<Full<Bytes>>,
    ) -> Result<Response<Incoming>, ChannelError> {
        self.sender.try_send_request(request).await.map_err(|mut unsent| {
            match unsent.take_message() {
                Some(_) => ChannelError::Ended,
                None => ChannelError::Broken { source: unsent.into_error() },
            }
        })
    }

    /// Whether it can carry another exchange: the last one is over and the connection stands.
    ///
    /// A target that sends bytes which nobody asked for closes its channel, so a late answer is
    /// never read as the answer to the next request.
    pub fn is_idle(&self) -> bool {
        self.sender.is_ready()
    }

    /// Waits until the last exchange is over; false if the connection ended with it.
    pub async fn settle(&mut self) -> bool {
        self.sender.ready().await.is_ok()
    }
}
