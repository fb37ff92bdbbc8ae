use std::collections::BTreeMap;
use std::net::SocketAddr;

use celeryhaven_derives::state;
use celeryhaven_membership::MembershipSettings;
use celeryhaven_once::OnceSettings;
use celeryhaven_spread::SpreadSettings;
use celeryhaven_types::{DataCentreName, Incarnation};

use crate::entry::PeerEntry;

state! {
    /// Configuration of an entry node at startup.
    pub struct EntrySettings {
        /// Node name and boot of this process.
        pub incarnation: Incarnation,
        /// Its data centre.
        pub data_centre: DataCentreName,
        /// Address for callers.
        pub caller_address: SocketAddr,
        /// Address for peers.
        pub peer_address: SocketAddr,
        /// One-way delay to targets of other data centres, in microseconds.
        pub distances_us: BTreeMap<DataCentreName, u32>,
        /// Default for data centres not listed in `distances_us`.
        pub far_distance_us: u32,
        /// Age in milliseconds at which a member's report expires.
        pub report_life_ms: u64,
        /// Interval between polls of a member, in milliseconds.
        pub poll_interval_ms: u64,
        /// Interval between reads of the platform's VM list, in milliseconds.
        pub vm_list_interval_ms: u64,
        /// Unix time in milliseconds at which the node's clock was zero.
        pub unix_at_clock_zero_ms: u64,
        /// Peer addresses contacted at startup to discover the other entries.
        pub seeds: Vec<SocketAddr>,
        /// Membership intervals and timeouts.
        pub membership: MembershipSettings,
        /// Intervals and limits of configuration distribution.
        pub spread: SpreadSettings,
        /// How long callers cache an address answer, in milliseconds; a leaving node continues to
        /// serve for that long.
        pub address_ttl_ms: u64,
        /// Time in milliseconds after which a cancelled attempt without a result counts as failed.
        pub cancel_wait_ms: u64,
        /// Statically configured entries, used until membership discovers others.
        pub peers: Vec<PeerEntry>,
        /// Limits of the at-most-once guard.
        pub once: OnceSettings,
    }
}

impl EntrySettings {
    /// Creates settings with defaults for data centres about a millisecond apart.
    pub fn new(
        incarnation: Incarnation,
        data_centre: DataCentreName,
        caller_address: SocketAddr,
        peer_address: SocketAddr,
    ) -> Self {
        Self {
            incarnation,
            data_centre,
            caller_address,
            peer_address,
            distances_us: BTreeMap::new(),
            far_distance_us: 1_500,
            report_life_ms: 1_500,
            poll_interval_ms: 500,
            vm_list_interval_ms: 1_000,
            unix_at_clock_zero_ms: 0,
            seeds: Vec::new(),
            membership: MembershipSettings::default(),
            spread: SpreadSettings::default(),
            address_ttl_ms: 5_000,
            cancel_wait_ms: 1_000,
            peers: Vec::new(),
            once: OnceSettings::default(),
        }
    }

    /// Sets the one-way delay to targets of a data centre, in microseconds.
    pub fn with_distance_us(mut self, data_centre: DataCentreName, distance_us: u32) -> Self {
        self.distances_us.insert(data_centre, distance_us);
        self
    }

    /// Sets the lifetime of member reports and the poll interval, in milliseconds.
    pub const fn with_reports(mut self, report_life_ms: u64, poll_interval_ms: u64) -> Self {
        self.report_life_ms = report_life_ms;
        self.poll_interval_ms = poll_interval_ms;
        self
    }

    /// Sets the other entries and their peer addresses.
    pub fn with_peers(mut self, peers: Vec<PeerEntry>) -> Self {
        self.peers = peers;
        self
    }

    /// Age of the last observation at which a node starts polling by itself, in milliseconds.
    ///
    /// An observation ages by at most two intervals while polls and queries are answered. The rest
    /// of the report lifetime leaves time for own polls before the observation expires.
    pub(crate) fn observation_age_max_ms(&self) -> u64 {
        (2 * self.poll_interval_ms + 50).min(self.report_life_ms * 4 / 5)
    }

    /// Returns the one-way delay to targets of a data centre, in microseconds.
    pub(crate) fn distance_us(&self, data_centre: &DataCentreName) -> u32 {
        let near = u32::from(*data_centre != self.data_centre) * self.far_distance_us;
        self.distances_us.get(data_centre).copied().unwrap_or(near)
    }
}
