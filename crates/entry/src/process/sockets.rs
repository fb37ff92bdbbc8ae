use std::net::{SocketAddr, TcpListener};

use celeryhaven_link::{Credentials, Identity, LinkEndpoint, LinkLimits, Role};
use celeryhaven_settings::EntrySettings;
use celeryhaven_types::NodeName;
use snafu::{ResultExt, ensure};

use crate::process::error::WrongCertificateSnafu;
use crate::process::{CredentialsSnafu, HttpSnafu, PeerSnafu, ProcessError};

/// Frame size of a delegated request beyond its body, in bytes.
const FRAME_SLACK_BYTES: usize = 1 << 20;

/// The sockets of an entry, and its settings with the ports assigned by the system.
pub(crate) struct Sockets {
    pub(crate) settings: EntrySettings,
    pub(crate) listener: TcpListener,
    pub(crate) http_address: SocketAddr,
    pub(crate) endpoint: LinkEndpoint,
    pub(crate) peer_address: SocketAddr,
}

impl Sockets {
    /// Opens the sockets.
    pub(crate) fn open(settings: &EntrySettings) -> Result<Self, ProcessError> {
        let credentials = credentials(settings)?;
        let limits = LinkLimits::default().with_frame_bytes(frame_bytes(settings));
        let endpoint = LinkEndpoint::bind(settings.peer_listen, &credentials, Role::Node, limits)
            .context(PeerSnafu)?;
        let peer_address = endpoint.local_address().context(PeerSnafu)?;
        let address = settings.http_listen;
        let listener = TcpListener::bind(address).context(HttpSnafu { address })?;
        let http_address = listener.local_addr().context(HttpSnafu { address })?;
        let mut settings = settings.clone();
        settings.http_advertised = with_port(settings.http_advertised, http_address);
        settings.peer_advertised = with_port(settings.peer_advertised, peer_address);
        Ok(Self { settings, listener, http_address, endpoint, peer_address })
    }
}

/// Returns the advertised address, with the listening port if its own is 0.
fn with_port(advertised: SocketAddr, listened: SocketAddr) -> SocketAddr {
    match advertised.port() {
        0 => SocketAddr::new(advertised.ip(), listened.port()),
        _ => advertised,
    }
}

fn credentials(settings: &EntrySettings) -> Result<Credentials, ProcessError> {
    let credentials =
        Credentials::load(&settings.certificate_file, &settings.key_file, &settings.authority_file)
            .context(CredentialsSnafu)?;
    let expected = Identity::Node(NodeName::new(settings.node.as_str()));
    let found = credentials.identity();
    ensure!(
        *found == expected,
        WrongCertificateSnafu { found: found.dns_name(), node: settings.node.to_string() }
    );
    Ok(credentials)
}

fn frame_bytes(settings: &EntrySettings) -> usize {
    let body_bytes = usize::try_from(settings.body_limit_bytes).unwrap_or(usize::MAX);
    body_bytes.saturating_add(FRAME_SLACK_BYTES)
}
