use std::net::SocketAddr;
use std::path::PathBuf;

use celeryhaven_types::{DataCentreName, NodeName};

use crate::error::SettingsError;
use crate::field::Kind;
use crate::process::LogLevel;
use crate::process::settings_macro::settings;
use crate::yaml::Document;

settings! {
    /// Settings of a controller process.
    pub struct ControllerSettings checked by check_timeouts {
        /// Name of this entry VM, unique in the fleet and the same as in its certificate.
        node: NodeName = Kind::Name;
        /// Data centre of this entry VM.
        data_centre: DataCentreName = Kind::Name;
        /// Address on which operator requests are accepted (UDP).
        operator_listen: SocketAddr = Kind::Address;
        /// Address on which health, readiness and metrics are served.
        http_listen: SocketAddr = Kind::Address;
        /// Address of the platform's Object API.
        object_api: SocketAddr = Kind::Address;
        /// Address of the platform's VM list.
        vm_list: SocketAddr = Kind::Address;
        /// This node's certificate, in PEM.
        certificate_file: PathBuf = Kind::File;
        /// The certificate's private key, in PEM.
        key_file: PathBuf = Kind::File;
        /// The certificate of the fleet's certificate authority, in PEM.
        authority_file: PathBuf = Kind::File;
        /// How long a lease is valid after others last observed a change of it.
        lease_ttl_ms: u64 = Kind::number(500, 600_000, 9_000);
        /// Interval at which a held lease is renewed.
        lease_renew_ms: u64 = Kind::number(100, 300_000, 3_000);
        /// How long after its decision an order may still be in transit.
        order_life_ms: u64 = Kind::number(100, 60_000, 3_000);
        /// Maximum age of a member's report before the member counts as silent.
        report_life_ms: u64 = Kind::number(100, 60_000, 2_000);
        /// Interval at which each member is polled.
        poll_interval_ms: u64 = Kind::number(20, 30_000, 500);
        /// Timeout of a poll of a member.
        poll_timeout_ms: u64 = Kind::number(10, 30_000, 400);
        /// Interval at which the VM list is read.
        vm_list_interval_ms: u64 = Kind::number(100, 600_000, 2_000);
        /// Timeout of a call to the Object API, excluding the wait of a watch.
        store_timeout_ms: u64 = Kind::number(50, 60_000, 2_000);
        /// Throughput of the weights store, shared by all loads.
        weights_rate_bytes_per_s: u64 = Kind::number(1_000, 1_000_000_000_000_000, 4_000_000_000);
        /// Minimum severity that is logged.
        log_level: LogLevel = LogLevel::KIND;
    }
}

/// Checks that timeouts are consistent; otherwise a live holder could lose its lease between two
/// renewals, or a healthy member could count as silent between two polls.
fn check_timeouts(settings: &ControllerSettings, document: &Document) -> Result<(), SettingsError> {
    let min_ttl_ms = settings.lease_renew_ms * 2 + settings.store_timeout_ms;
    if settings.lease_ttl_ms < min_ttl_ms {
        let accepted = format!(
            "at least twice lease_renew_ms and store_timeout_ms together, which are {min_ttl_ms}"
        );
        return Err(document.value_error("lease_ttl_ms", accepted));
    }
    let poll_ms = settings.poll_interval_ms + settings.poll_timeout_ms;
    if settings.report_life_ms <= poll_ms {
        let accepted =
            format!("more than poll_interval_ms and poll_timeout_ms together, which are {poll_ms}");
        return Err(document.value_error("report_life_ms", accepted));
    }
    Ok(())
}
