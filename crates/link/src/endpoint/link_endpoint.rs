use std::net::{SocketAddr, UdpSocket};
use std::sync::Arc;

use quinn::{ClientConfig, Endpoint, EndpointConfig, Incoming, ServerConfig, SmolRuntime};
use snafu::ResultExt;

use crate::endpoint::LinkLimits;
use crate::endpoint::tls::{client_config, server_config};
use crate::error::{BindSnafu, ConnectSnafu, DialSnafu, LinkError};
use crate::identity::{Credentials, Role};
use crate::wire::{Link, with_timeout};

/// Server name sent in the handshake; verification uses the name in the certificate instead.
const SERVER_NAME: &str = "node.celeryhaven";

/// A UDP socket that accepts links and opens links to nodes.
#[derive(Clone, Debug)]
pub struct LinkEndpoint {
    endpoint: Endpoint,
    limits: LinkLimits,
}

impl LinkEndpoint {
    /// Binds a socket that accepts links from processes of one role and opens links to nodes.
    pub fn bind(
        listen: SocketAddr,
        credentials: &Credentials,
        accepted: Role,
        limits: LinkLimits,
    ) -> Result<Self, LinkError> {
        let server = server_config(credentials, accepted, &limits)?;
        Self::open(listen, Some(server), client_config(credentials, &limits)?, limits)
    }

    /// Binds a socket that opens links to nodes and accepts none.
    pub fn client(
        local: SocketAddr,
        credentials: &Credentials,
        limits: LinkLimits,
    ) -> Result<Self, LinkError> {
        Self::open(local, None, client_config(credentials, &limits)?, limits)
    }

    fn open(
        address: SocketAddr,
        server: Option<ServerConfig>,
        client: ClientConfig,
        limits: LinkLimits,
    ) -> Result<Self, LinkError> {
        let socket = UdpSocket::bind(address).context(BindSnafu { address })?;
        let runtime = Arc::new(SmolRuntime);
        let mut endpoint = Endpoint::new(EndpointConfig::default(), server, socket, runtime)
            .context(BindSnafu { address })?;
        endpoint.set_default_client_config(client);
        Ok(Self { endpoint, limits })
    }

    /// Returns the bound address.
    pub fn local_address(&self) -> Result<SocketAddr, LinkError> {
        let address = SocketAddr::from(([0, 0, 0, 0], 0));
        self.endpoint.local_addr().context(BindSnafu { address })
    }

    /// Opens a link to the node at an address.
    pub async fn connect(&self, address: SocketAddr) -> Result<Link, LinkError> {
        let connecting =
            self.endpoint.connect(address, SERVER_NAME).context(DialSnafu { address })?;
        let connection = with_timeout("the handshake", self.limits.handshake_ms, connecting)
            .await?
            .context(ConnectSnafu { address })?;
        Link::new(connection, self.limits)
    }

    /// Waits for the next incoming connection; `None` once the endpoint is closed.
    ///
    /// Call [`LinkEndpoint::handshake`] in a separate task, so that a slow peer does not delay other
    /// connections.
    pub async fn accept(&self) -> Option<Incoming> {
        self.endpoint.accept().await
    }

    /// Completes the handshake of an incoming connection.
    pub async fn handshake(&self, incoming: Incoming) -> Result<Link, LinkError> {
        let address = incoming.remote_address();
        let connection = with_timeout("the handshake", self.limits.handshake_ms, incoming)
            .await?
            .context(ConnectSnafu { address })?;
        Link::new(connection, self.limits)
    }

    /// Closes all links immediately.
    pub fn close(&self) {
        self.endpoint.close(0u32.into(), b"leaving");
    }

    /// Returns the number of links that are open or in the handshake.
    pub fn open_links(&self) -> usize {
        self.endpoint.open_connections()
    }
}
