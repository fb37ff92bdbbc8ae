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
    pub struct GatewaySettings checked by check_stop_timeout {
        /// Name of this entry VM, unique in the fleet.
        node: NodeName = Kind::Name;
        /// Data centre of this entry VM.
        data_centre: DataCentreName = Kind::Name;
        /// Address on which caller requests are accepted, also sent in address answers.
        caller_listen: SocketAddr = Kind::Address;
        /// Address on which the platform and other nodes query this node's readiness.
        ready_listen: SocketAddr = Kind::Address;
        /// Address on which callers look up the address to use.
        lookup_listen: SocketAddr = Kind::Address;
        /// Address on which other nodes follow this node.
        peer_listen: SocketAddr = Kind::Address;
        /// Address on which metrics are served.
        metrics_listen: SocketAddr = Kind::Address;
        /// Address of the platform's store.
        store: SocketAddr = Kind::Address;
        /// How long callers may cache an address answer.
        address_ttl_ms: u64 = Kind::number(100, 600_000, 2_000);
        /// Time from the stop signal until the process is killed.
        stop_s: f64 = Kind::decimal(1.0, 600.0, 8.0);
        /// Retry budget of all nodes together, as a share of the requests.
        retry_ratio: f64 = Kind::decimal(0.0, 1.0, 0.2);
        /// Retries beyond that share that all nodes together may accumulate.
        retry_extra: f64 = Kind::decimal(0.0, 1e6, 100.0);
        /// Span over which the loads that the weights store allows are counted.
        load_window_s: f64 = Kind::decimal(0.1, 600.0, 5.0);
        /// Time within which a change of the configuration must be in force on every node.
        config_apply_ms: u64 = Kind::number(500, 600_000, 2_000);
        /// Timeout of a call to the store.
        store_timeout_ms: u64 = Kind::number(50, 60_000, 700);
        /// How long a watch of the store waits for a change.
        watch_wait_ms: u64 = Kind::number(100, 30_000, 2_500);
        /// Number of cores that this process may use; may be a fraction.
        cores: f64 = Kind::decimal(0.01, 1_024.0, 1.0);
        /// Memory that this process may use.
        memory_mb: u64 = Kind::number(64, 1_000_000, 160);
        /// Whether requests for engines that can begin in time come before late ones and returns.
        overload_control: bool = Kind::switch();
        /// Whether a node's share of pooled slots follows the demand of its callers.
        demand_shares: bool = Kind::switch();
        /// Minimum severity that is logged.
        log_level: LogLevel = LogLevel::KIND;
    }
}

impl GatewaySettings {
    /// Returns the span over which loads from the weights store are counted, in milliseconds.
    pub fn load_window_ms(&self) -> u64 {
        Duration::from_secs_f64(self.load_window_s).as_millis() as u64
    }

    /// Returns the memory that this process may use, in bytes.
    pub fn memory_bytes(&self) -> u64 {
        self.memory_mb * 1_000_000
    }

    /// Returns the time from the stop signal until the process is killed.
    pub fn stop_timeout(&self) -> Duration {
        Duration::from_secs_f64(self.stop_s)
    }
}

/// Checks that address answers cached by callers expire before the process is killed.
fn check_stop_timeout(
    settings: &GatewaySettings,
    document: &Document,
) -> Result<(), SettingsError> {
    match settings.stop_timeout().as_millis() > 2 * u128::from(settings.address_ttl_ms) {
        true => Ok(()),
        false => Err(document.value_error("stop_s", "more than twice address_ttl_ms")),
    }
}
