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
        /// Where callers' HTTP requests are taken.
        http_listen: SocketAddr = Kind::Address;
        /// Where callers reach this node, for address answers; port 0 stands for the port listened on.
        http_advertised: SocketAddr = Kind::Address;
        /// Where other entries' links are taken (UDP).
        peer_listen: SocketAddr = Kind::Address;
        /// Where other entries reach this node; port 0 stands for the port listened on.
        peer_advertised: SocketAddr = Kind::Address;
        /// Peer addresses of some entries, to find the others at start.
        seeds: Vec<SocketAddr> = Kind::Addresses;
        /// Where the platform's Object API answers.
        object_api: SocketAddr = Kind::Address;
        /// Where the platform's VM list answers.
        vm_list: SocketAddr = Kind::Address;
        /// This node's certificate, in PEM.
        certificate_file: PathBuf = Kind::File;
        /// The certificate's private key, in PEM.
        key_file: PathBuf = Kind::File;
        /// The certificate of the fleet's authority, in PEM.
        authority_file: PathBuf = Kind::File;
        /// Deadline of a request whose caller names none.
        default_deadline_ms: u64 = Kind::number(100, 3_600_000, 60_000);
        /// How long callers may keep an address answer; a leaving node serves on for that long.
        address_ttl_ms: u64 = Kind::number(100, 600_000, 15_000);
        /// How long a request key from this node is accepted.
        key_ttl_ms: u64 = Kind::number(1_000, 86_400_000, 600_000);
        /// Largest request body that is read.
        body_limit_bytes: u64 = Kind::number(1_024, 67_108_864, 4_194_304);
        /// Largest request head that is read.
        head_limit_bytes: u64 = Kind::number(1_024, 262_144, 16_384);
        /// How long a caller may take to send a body; twice that for all, or to take any of the answer.
        read_timeout_ms: u64 = Kind::number(50, 600_000, 10_000);
        /// How long a connection to a target may take to open.
        connect_timeout_ms: u64 = Kind::number(10, 60_000, 1_000);
        /// How long a target may stay silent within an answer before it counts as broken.
        silence_timeout_ms: u64 = Kind::number(100, 3_600_000, 30_000);
        /// Answers of keyed requests that are kept in memory for a repeated key.
        kept_answers_bytes: u64 = Kind::number(0, 1_073_741_824, 33_554_432);
        /// Threads for callers and targets; the control thread is not among them.
        traffic_threads: usize = Kind::number(1, 64, 2);
        /// How old a member's report may be before its replica takes no requests.
        report_life_ms: u64 = Kind::number(100, 60_000, 2_000);
        /// How often an observer polls each member.
        poll_interval_ms: u64 = Kind::number(20, 30_000, 500);
        /// How long a poll of a member may take.
        poll_timeout_ms: u64 = Kind::number(10, 30_000, 400);
        /// How often the VM list is read.
        vm_list_interval_ms: u64 = Kind::number(100, 600_000, 5_000);
        /// How long a configuration stays in force without evidence that it is the newest.
        vouch_ms: u64 = Kind::number(500, 3_600_000, 6_000);
        /// How long a call to the Object API may take, besides a watch's wait.
        store_timeout_ms: u64 = Kind::number(50, 60_000, 2_000);
        /// How often another entry is probed.
        probe_interval_ms: u64 = Kind::number(20, 60_000, 500);
        /// How much is logged.
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
