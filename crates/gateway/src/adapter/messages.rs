use std::net::SocketAddr;

use celeryhaven_derives::state;
use celeryhaven_types::{ModelName, OrganisationName, VmName};

use crate::adapter::AnswerIdentity;

state! {
    /// Paths of the platform on nodes and targets.
    #[derive(Copy, Eq)]
    pub struct Paths {
        /// Address lookup for callers.
        pub addresses: &'static str,
        /// Readiness endpoint of a node.
        pub ready: &'static str,
        /// Report endpoint of a target.
        pub report: &'static str,
    }

    /// Fields of a caller's request head besides method and path.
    #[derive(Default, Eq)]
    pub struct CallerHead {
        /// Request id, which the target echoes.
        pub request_id: Option<String>,
        /// Time that the caller waits, in milliseconds.
        pub budget_ms: Option<u64>,
        /// API key of the caller.
        pub key: Option<String>,
        /// The requested model.
        pub model: Option<ModelName>,
        /// Number of prompt tokens.
        pub prompt_tokens: u32,
        /// Ids of the parts of the prompt that other requests may share, in order.
        pub shared_parts: Vec<String>,
        /// Expected number of output tokens.
        pub output_tokens: Option<u32>,
        /// Maximum number of output tokens.
        pub output_tokens_max: u32,
        /// Id of the last stream event that the caller has received.
        pub last_event_id: Option<String>,
    }

    /// Fields that the gateway adds to a request to a target.
    #[derive(Eq)]
    pub struct TargetRequestHead<'a> {
        /// Remaining time, in milliseconds.
        pub budget_ms: u64,
        /// The addressed target; any other target refuses the request.
        pub expected: &'a VmName,
        /// Organisation of the caller; `None` if callers need no key.
        pub organisation: Option<&'a OrganisationName>,
        /// Priority among requests; 0 is the highest.
        pub rank: u8,
        /// Id of the last stream event that the caller has received.
        pub last_event_id: Option<&'a str>,
    }

    /// Limit that a target names in an answer.
    #[derive(Copy, Default)]
    pub enum LimitHeader {
        /// The answer names none.
        #[default]
        Absent,
        /// The answer names one that cannot be read.
        Invalid,
        /// Requests a second from all nodes together; finite and not negative.
        RatePerS(f64),
    }

    /// Fields of a target's answer head besides the status.
    #[derive(Default)]
    pub struct AnswerHead {
        /// Which request it says that it belongs to; the rest says nothing of any other request.
        pub identity: AnswerIdentity,
        /// Whether the target reports that it has not run the request.
        pub not_run: bool,
        /// Load of the target.
        pub load: Option<ReportedLoad>,
        /// Limit that the target names.
        pub limit: LimitHeader,
        /// For how long the target asks this node to send it no requests, in milliseconds.
        pub back_off_ms: Option<u64>,
        /// Whether the target says that it is about to shut down.
        pub is_leaving: bool,
        /// Member of the replica that the target reports as lost.
        pub reported_lost: Option<VmName>,
        /// How long the target keeps an idle connection open, in seconds, if reported.
        pub keep_alive_s: Option<u64>,
        /// Whether the target closes the connection after this answer.
        pub closes_connection: bool,
    }

    /// Load of a target, as reported in an answer.
    #[derive(Copy, Eq)]
    pub struct ReportedLoad {
        /// Number of running requests.
        pub running: u32,
        /// Number of waiting requests.
        pub waiting: u32,
    }

    /// Call to a target.
    #[derive(Eq)]
    pub struct TargetCall {
        /// Path of the call.
        pub path: &'static str,
        /// JSON body of the call.
        pub body: String,
    }
}

/// Answer to an address lookup.
#[derive(Clone, Copy, Debug)]
pub struct AddressAnswer<'a> {
    /// Addresses to which callers may connect.
    pub addresses: &'a [SocketAddr],
    /// How long the answer may be cached, in milliseconds.
    pub ttl_ms: u64,
}
