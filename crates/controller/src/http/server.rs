use std::net::{SocketAddr, TcpListener};

use celeryhaven_telemetry::ControllerMetrics;
use trillium::{Conn, Status};

use crate::control::ControlProgress;

/// Answers `/healthz`, `/readyz` and `/metrics` until the process ends.
pub(crate) fn serve(
    address: SocketAddr,
    metrics: ControllerMetrics,
    progress: ControlProgress,
) -> std::io::Result<()> {
    let listener = TcpListener::bind(address)?;
    listener.set_nonblocking(true)?;
    let listener = smol::net::TcpListener::from(smol::Async::new(listener)?);
    trillium_smol::config().without_signals().with_prebound_server(listener).spawn(
        move |conn: Conn| {
            let metrics = metrics.clone();
            let progress = progress.clone();
            async move {
                match conn.path() {
                    "/healthz" => conn.ok("ok\n"),
                    "/readyz" if progress.is_running() => conn.ok("ready\n"),
                    "/readyz" => conn
                        .with_status(Status::ServiceUnavailable)
                        .with_body("the control thread stands still\n"),
                    "/metrics" => conn.ok(metrics.process.encode()),
                    _ => conn,
                }
            }
        },
    );
    Ok(())
}
