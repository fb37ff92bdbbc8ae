use std::net::SocketAddr;
use std::time::Duration;

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
        stop_s: f64 = Kind::decimal(1.0, 600.0, 8.0);
        /// Repeated sends that all nodes together may make, as a share of the requests.
        retry_ratio: f64 = Kind::decimal(0.0, 1.0, 0.2);
        /// Repeated sends beyond that which may be saved up, all nodes together.
        retry_extra: f64 = Kind::decimal(0.0, 1e6, 100.0);
        /// How long a call to the store may take.
        store_timeout_ms: u64 = Kind::number(50, 60_000, 700);
        /// How long a watch of the store waits for a change.
        watch_wait_ms: u64 = Kind::number(100, 30_000, 2_500);
        /// Cores that this process may use, as a part of one where it is less.
        cores: f64 = Kind::decimal(0.01, 1_024.0, 1.0);
        /// How much is logged.
        log_level: LogLevel = LogLevel::KIND;
    }
}

impl GatewaySettings {
    /// Time from the signal to stop until the process is ended by force.
    pub fn stop_timeout(&self) -> Duration {
        Duration::from_secs_f64(self.stop_s)
    }
}

/// Address answers that callers still hold must have run out before the process ends.
fn stop_is_long_enough(
    settings: &GatewaySettings,
    document: &Document,
) -> Result<(), SettingsError> {
    match settings.stop_timeout().as_millis() > 2 * u128::from(settings.address_ttl_ms) {
        true => Ok(()),
        false => Err(document.value_error("stop_s", "more than twice address_ttl_ms")),
    }
}
