use std::net::SocketAddr;

use celeryhaven_link::{LinkEndpoint, LinkPool};
use celeryhaven_node::PeerMessage;
use celeryhaven_telemetry::EntryMetrics;
use celeryhaven_telemetry::metrics::DirectionLabel;
use celeryhaven_types::Incarnation;
use slog::{Logger, debug};

use crate::control::ControlHandle;
use celeryhaven_clock::BootClock;

/// Sends messages to other entries and receives theirs.
#[derive(Clone)]
pub(crate) struct Peers {
    pub(crate) control: ControlHandle,
    pub(crate) pool: LinkPool,
    pub(crate) endpoint: LinkEndpoint,
    pub(crate) incarnation: Incarnation,
    pub(crate) log: Logger,
    metrics: EntryMetrics,
}

impl Peers {
    pub(crate) fn new(
        control: ControlHandle,
        endpoint: LinkEndpoint,
        incarnation: Incarnation,
        metrics: EntryMetrics,
        log: Logger,
    ) -> Self {
        Self { control, pool: LinkPool::new(endpoint.clone()), endpoint, incarnation, log, metrics }
    }

    /// Counts bytes of control traffic.
    pub(crate) fn count_bytes(&self, direction: &'static str, bytes: usize) {
        let label = DirectionLabel { direction };
        self.metrics.process.control_bytes.get_or_create(&label).inc_by(bytes as u64);
    }

    /// Sends a message of the state machine, without a delivery guarantee.
    pub(crate) fn send(&self, address: SocketAddr, message: &PeerMessage) {
        let Ok(bytes) = celeryhaven_link::wire::encode(message) else { return };
        self.count_bytes("sent", bytes.len());
        let peers = self.clone();
        smol::spawn(async move {
            let sent = peers.pool.send_bytes(BootClock.now(), address, &bytes).await;
            if let Err(error) = sent {
                debug!(peers.log, "a message was not sent"; "error" => error.to_string());
            }
        })
        .detach();
    }
}
