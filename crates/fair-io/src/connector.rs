use std::io;
use std::net::SocketAddr;

use trillium_server_common::{Connector, Url};
use trillium_smol::ClientConfig;

use crate::FairTransport;

/// Opens TCP connections without delay of small writes that yield after a few reads.
#[derive(Clone, Copy, Debug)]
pub struct FairConnector {
    config: ClientConfig,
}

impl FairConnector {
    /// Creates a connector.
    pub const fn new() -> Self {
        Self { config: ClientConfig::new().with_nodelay(true) }
    }
}

impl Default for FairConnector {
    fn default() -> Self {
        Self::new()
    }
}

impl Connector for FairConnector {
    type Runtime = <ClientConfig as Connector>::Runtime;
    type Transport = FairTransport<<ClientConfig as Connector>::Transport>;
    type Udp = <ClientConfig as Connector>::Udp;

    async fn connect(&self, url: &Url) -> io::Result<Self::Transport> {
        self.config.connect(url).await.map(FairTransport::new)
    }

    async fn resolve(&self, host: &str, port: u16) -> io::Result<Vec<SocketAddr>> {
        self.config.resolve(host, port).await
    }

    fn runtime(&self) -> Self::Runtime {
        self.config.runtime()
    }
}
