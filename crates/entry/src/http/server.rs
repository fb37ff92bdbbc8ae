use std::net::{IpAddr, Ipv4Addr, SocketAddr, TcpListener};

use snafu::ResultExt;
use trillium_http::HttpConfig;
use trillium_server_common::ServerHandle;

use crate::http::HttpContext;
use crate::http::guard::Guard;
use crate::http::routes::Routes;
use crate::process::{HttpSnafu, ProcessError};

/// Factor between the head limit of the HTTP library and that of the settings.
///
/// Between the two limits a request is refused with an error body; beyond the library's limit the
/// connection is reset.
const HEAD_LIMIT_FACTOR: usize = 4;

/// Address in errors when the local address is unknown.
const UNKNOWN: SocketAddr = SocketAddr::new(IpAddr::V4(Ipv4Addr::UNSPECIFIED), 0);

/// Starts the HTTP server for callers.
pub(crate) fn serve(
    listener: TcpListener,
    context: HttpContext,
) -> Result<ServerHandle, ProcessError> {
    let address = listener.local_addr().unwrap_or(UNKNOWN);
    let listener = smol::net::TcpListener::try_from(listener).context(HttpSnafu { address })?;
    let limits = context.limits;
    let http = HttpConfig::default()
        .with_head_max_len(limits.head_bytes.saturating_mul(HEAD_LIMIT_FACTOR))
        .with_received_body_max_len(limits.body_bytes + 1);
    let handle = trillium_smol::config()
        .without_signals()
        .with_nodelay()
        .with_http_config(http)
        .with_acceptor(Guard { read_timeout: limits.read })
        .with_prebound_server(listener)
        .spawn(Routes { context });
    Ok(handle)
}
