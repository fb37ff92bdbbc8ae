use std::io::{self, ErrorKind};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use smol::Timer;
use smol::future::FutureExt;
use smol::net::TcpStream;
use trillium_server_common::{Connector, Url};
use trillium_smol::{ClientConfig, SmolRuntime};

use crate::forward::attempt::Reporter;
use crate::forward::idle::IdleConnections;
use crate::forward::send_gate::{GatedTransport, SendGate};

/// Opens the connection of one attempt.
pub(crate) struct GatedConnector {
    pub(crate) address: SocketAddr,
    pub(crate) gate: Arc<SendGate<Reporter>>,
    pub(crate) idle: Arc<IdleConnections>,
    /// Whether an idle connection may be used.
    ///
    /// False for non-idempotent requests: if the target closes the idle connection concurrently, it
    /// is unknown whether the request ran.
    pub(crate) reuse: bool,
    pub(crate) connect_timeout: Duration,
}

impl GatedConnector {
    async fn open(&self) -> io::Result<TcpStream> {
        let opening = TcpStream::connect(self.address);
        let late = async {
            Timer::after(self.connect_timeout).await;
            Err(ErrorKind::TimedOut.into())
        };
        let stream = opening.or(late).await?;
        stream.set_nodelay(true)?;
        Ok(stream)
    }
}

impl Connector for GatedConnector {
    type Transport = GatedTransport;
    type Runtime = SmolRuntime;
    type Udp = <ClientConfig as Connector>::Udp;

    async fn connect(&self, _url: &Url) -> io::Result<GatedTransport> {
        let pooled = if self.reuse { self.idle.take(self.address).await } else { None };
        let stream = match pooled {
            Some(stream) => stream,
            None => self.open().await?,
        };
        let (gate, idle) = (self.gate.clone(), self.idle.clone());
        Ok(GatedTransport::new(stream, self.address, gate, idle))
    }

    async fn resolve(&self, _host: &str, _port: u16) -> io::Result<Vec<SocketAddr>> {
        Ok(vec![self.address])
    }

    fn runtime(&self) -> SmolRuntime {
        SmolRuntime::default()
    }
}
