use celeryhaven_derives::data;
use celeryhaven_fleet::Route;
use celeryhaven_types::{ModelName, OrganisationName, ServiceName, Verdict, VmName};

data! {
    /// What a peer must know of a request besides its own head and body.
    #[serde(deny_unknown_fields)]
    pub struct DelegatedRequest {
        /// Bearer token of the peer, which only readers of the store know.
        pub token: String,
        /// The route, with the attempts that are left.
        pub route: Route,
        /// The service that the delegating node has selected.
        pub service: ServiceName,
        /// The requested model; `None` for a plain service.
        pub model: Option<ModelName>,
        /// Organisation of the caller, authenticated by the delegating node.
        pub organisation: Option<OrganisationName>,
        /// Rank of the request; 0 is the highest.
        pub rank: u8,
        /// Whether the delegating node has counted the request as load already.
        pub is_counted: bool,
    }

    /// Why a peer gives no answer of a target.
    #[derive(Copy, Eq)]
    #[serde(deny_unknown_fields)]
    pub struct DelegationRefusal {
        /// Whether the request may have run.
        pub verdict: Verdict,
        /// Targets that the request was sent to.
        pub attempts: u32,
        /// Whether another peer may be able to run the request now.
        pub is_local: bool,
    }
}

data! {
    /// What a target has said of itself to the peer that has run a request for another node.
    #[serde(deny_unknown_fields)]
    pub struct TargetNotice {
        /// The target.
        pub target: VmName,
        /// Start time of its process, in Unix milliseconds.
        pub started_at_ms: Option<u64>,
        /// Whether it is about to shut down.
        pub is_leaving: bool,
        /// For how long it asks to be sent no requests, in milliseconds.
        pub back_off_ms: Option<u64>,
        /// Requests a second that it takes from all nodes together.
        pub rate_per_s: Option<f64>,
    }
}

impl TargetNotice {
    /// Encodes the message for a header; returns `None` if that is not possible.
    pub fn encode(&self) -> Option<Vec<u8>> {
        serde_json::to_vec(self).ok()
    }

    /// Decodes the message; returns `None` if it is invalid.
    pub fn decode(bytes: &[u8]) -> Option<Self> {
        serde_json::from_slice(bytes).ok()
    }
}

impl DelegatedRequest {
    /// Encodes the message for a header; returns `None` if that is not possible.
    pub fn encode(&self) -> Option<Vec<u8>> {
        serde_json::to_vec(self).ok()
    }

    /// Decodes the message; returns `None` if it is invalid.
    pub fn decode(bytes: &[u8]) -> Option<Self> {
        serde_json::from_slice(bytes).ok()
    }
}

impl DelegationRefusal {
    /// Creates the refusal of a peer that could send the request to no target, while others may.
    pub const fn local() -> Self {
        Self { verdict: Verdict::NotRun, attempts: 0, is_local: true }
    }

    /// Encodes the message for a header; returns `None` if that is not possible.
    pub fn encode(&self) -> Option<Vec<u8>> {
        serde_json::to_vec(self).ok()
    }

    /// Decodes the message; returns `None` if it is invalid.
    pub fn decode(bytes: &[u8]) -> Option<Self> {
        serde_json::from_slice(bytes).ok()
    }
}
