use std::net::SocketAddr;

use celeryhaven_types::{DataCentreName, NodeName};

use crate::error::SettingsError;
use crate::field::Kind;
use crate::process::LogLevel;
use crate::process::settings_macro::settings;
use crate::yaml::Document;

settings! {
    /// Settings of a gateway process.
    pub struct GatewaySettings checked by stop_is_long_enough {
        /// Name of this entry VM, unique in the fleet.
        node: NodeName = Kind::Name;
        /// Data centre of this entry VM.
        data_centre: DataCentreName = Kind::Name;
        /// Where callers' requests are taken; address answers name it.
        caller_listen: SocketAddr = Kind::Address;
        /// Where the platform and other nodes ask whether this node takes requests.
        ready_listen: SocketAddr = Kind::Address;
        /// Where callers ask which address to use.
        lookup_listen: SocketAddr = Kind::Address;
        /// Where other nodes follow this one.
        peer_listen: SocketAddr = Kind::Address;
        /// Where metrics are served.
        metrics_listen: SocketAddr = Kind::Address;
        /// Where the platform's store answers.
        store: SocketAddr = Kind::Address;
        /// How long callers may keep an address answer.
        address_ttl_ms: u64 = Kind::number(100, 600_000, 2_000);
        /// Time from the signal to stop until the process is ended by force.
        stop_ms: u64 = Kind::number(1_000, 600_000, 8_000);
        /// Repeated sends that all nodes together may make, in thousandths of the requests.
        retry_permille: u32 = Kind::number(0, 1_000, 200);
        /// Repeated sends beyond that which may be saved up, all nodes together.
        retry_extra: u32 = Kind::number(0, 1_000_000, 100);
        /// How long a call to the store may take.
        store_timeout_ms: u64 = Kind::number(50, 60_000, 700);
        /// How long a watch of the store waits for a change.
        watch_wait_ms: u64 = Kind::number(100, 30_000, 2_500);
        /// How much is logged.
        log_level: LogLevel = LogLevel::KIND;
    }
}

/// Address answers that callers still hold must have run out before the process ends.
fn stop_is_long_enough(
    settings: &GatewaySettings,
    document: &Document,
) -> Result<(), SettingsError> {
    match settings.stop_ms > 2 * settings.address_ttl_ms {
        true => Ok(()),
        false => Err(document.value_error("stop_ms", "more than twice address_ttl_ms")),
    }
}
