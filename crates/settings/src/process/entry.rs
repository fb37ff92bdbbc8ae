use std::net::SocketAddr;
use std::path::PathBuf;

use celeryhaven_types::{DataCentreName, NodeName};

use crate::error::SettingsError;
use crate::field::Kind;
use crate::process::LogLevel;
use crate::process::settings_macro::settings;
use crate::yaml::Document;

settings! {
    /// Settings of an entry process.
    pub struct EntrySettings checked by check_timeouts {
        /// Name of this entry VM, unique in the fleet and the same as in its certificate.
        node: NodeName = Kind::Name;
        /// Data centre of this entry VM.
        data_centre: DataCentreName = Kind::Name;
        /// Address on which callers' HTTP requests are accepted.
        http_listen: SocketAddr = Kind::Address;
        /// Address for callers, sent in address answers; port 0 stands for the listening port.
        http_advertised: SocketAddr = Kind::Address;
        /// Address on which links from other entries are accepted (UDP).
        peer_listen: SocketAddr = Kind::Address;
        /// Address for other entries; port 0 stands for the listening port.
        peer_advertised: SocketAddr = Kind::Address;
        /// Peer addresses of some entries, used to discover the others at start.
        seeds: Vec<SocketAddr> = Kind::Addresses;
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
        /// Deadline of a request whose caller sets none.
        default_deadline_ms: u64 = Kind::number(100, 3_600_000, 60_000);
        /// How long callers may cache an address answer; a leaving node keeps serving that long.
        address_ttl_ms: u64 = Kind::number(100, 600_000, 15_000);
        /// How long a request key issued by this node is accepted.
        key_ttl_ms: u64 = Kind::number(1_000, 86_400_000, 600_000);
        /// Maximum size of a request body.
        body_limit_bytes: u64 = Kind::number(1_024, 67_108_864, 4_194_304);
        /// Maximum size of a request head.
        head_limit_bytes: u64 = Kind::number(1_024, 262_144, 16_384);
        /// Timeout of a request body; twice that for head and body, or for an answer not read.
        read_timeout_ms: u64 = Kind::number(50, 600_000, 10_000);
        /// Timeout of opening a connection to a target.
        connect_timeout_ms: u64 = Kind::number(10, 60_000, 1_000);
        /// How long a target may send nothing within an answer before the attempt fails.
        silence_timeout_ms: u64 = Kind::number(100, 3_600_000, 30_000);
        /// Memory for cached answers, which are returned when a request key is repeated.
        kept_answers_bytes: u64 = Kind::number(0, 1_073_741_824, 33_554_432);
        /// Number of threads for callers and targets, besides the control thread.
        traffic_threads: usize = Kind::number(1, 64, 2);
        /// Maximum age of a member's report before its replica receives no requests.
        report_life_ms: u64 = Kind::number(100, 60_000, 2_000);
        /// Interval at which an observer polls each member.
        poll_interval_ms: u64 = Kind::number(20, 30_000, 500);
        /// Timeout of a poll of a member.
        poll_timeout_ms: u64 = Kind::number(10, 30_000, 400);
        /// Interval at which the VM list is read.
        vm_list_interval_ms: u64 = Kind::number(100, 600_000, 5_000);
        /// How long a configuration stays in force without confirmation that it is current.
        vouch_ms: u64 = Kind::number(500, 3_600_000, 6_000);
        /// Timeout of a call to the Object API, excluding the wait of a watch.
        store_timeout_ms: u64 = Kind::number(50, 60_000, 2_000);
        /// Interval at which another entry is probed.
        probe_interval_ms: u64 = Kind::number(20, 60_000, 500);
        /// Minimum severity that is logged.
        log_level: LogLevel = LogLevel::KIND;
    }
}

/// Checks that reports do not expire between two polls; otherwise healthy replicas would receive
/// no requests.
fn check_timeouts(settings: &EntrySettings, document: &Document) -> Result<(), SettingsError> {
    let poll_ms = settings.poll_interval_ms + settings.poll_timeout_ms;
    if settings.report_life_ms <= poll_ms {
        let accepted =
            format!("more than poll_interval_ms and poll_timeout_ms together, which are {poll_ms}");
        return Err(document.value_error("report_life_ms", accepted));
    }
    Ok(())
}
