use std::collections::BTreeMap;

use celeryhaven_derives::state;
use celeryhaven_node::PeerMessage;

state! {
    /// The purpose of a message between entries.
    #[derive(Copy, Eq, PartialOrd, Ord)]
    pub enum MessageKind {
        /// Membership protocol.
        Membership,
        /// Distribution of the configuration and of placements.
        Spread,
        /// Reports on replicas by their observers.
        Observation,
    }

    /// The control cost of a fleet over a span of virtual time.
    #[derive(Default)]
    pub struct Figures {
        /// The number of entry nodes.
        pub nodes: usize,
        /// The length of the span, in seconds.
        pub seconds: f64,
        /// Messages and bytes sent between entries, including packet headers.
        pub sent: BTreeMap<MessageKind, (u64, u64)>,
        /// Calls to the Object API. A repeated watch counts each time.
        pub store_calls: u64,
        /// Reads of the VM list.
        pub vm_list_reads: u64,
        /// Polls of members.
        pub polls: u64,
        /// CPU time of control events, in microseconds.
        pub control_us: f64,
        /// CPU time of request events, in microseconds.
        pub request_us: f64,
        /// Answered requests.
        pub requests: u64,
        /// Memory per node, in bytes.
        pub node_bytes: f64,
    }
}

impl MessageKind {
    /// Returns the kind of a message.
    pub fn of(message: &PeerMessage) -> Self {
        match message {
            PeerMessage::Membership(_) => Self::Membership,
            PeerMessage::Spread(_) => Self::Spread,
            _ => Self::Observation,
        }
    }

    /// Returns the lower-case name of the kind.
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Membership => "membership",
            Self::Spread => "spread",
            Self::Observation => "observation",
        }
    }
}

/// Rates and costs. Rates are per node unless stated otherwise.
impl Figures {
    /// Returns messages and bytes per second of one kind.
    pub fn sent_per_second(&self, kind: MessageKind) -> (f64, f64) {
        let (messages, bytes) = self.sent.get(&kind).copied().unwrap_or_default();
        (self.per_node_second(messages as f64), self.per_node_second(bytes as f64))
    }

    /// Returns bytes per second of all kinds.
    pub fn bytes_per_second(&self) -> f64 {
        let bytes: u64 = self.sent.values().map(|(_, bytes)| bytes).sum();
        self.per_node_second(bytes as f64)
    }

    /// Returns the share of a CPU core used by control events.
    pub fn control_share(&self) -> f64 {
        self.per_node_second(self.control_us) / 1e6
    }

    /// Returns the CPU time per request, in microseconds.
    pub fn request_cost_us(&self) -> f64 {
        self.request_us / self.requests.max(1) as f64
    }

    /// Returns polls of members per second.
    pub fn polls_per_second(&self) -> f64 {
        self.per_node_second(self.polls as f64)
    }

    /// Returns calls to the Object API per second by the whole fleet.
    pub fn store_calls_per_second(&self) -> f64 {
        self.store_calls as f64 / self.seconds
    }

    fn per_node_second(&self, total: f64) -> f64 {
        total / (self.nodes as f64 * self.seconds)
    }
}
