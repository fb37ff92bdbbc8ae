use std::net::SocketAddr;

use celeryhaven_derives::state;
use celeryhaven_types::{ModelName, OrganisationName, VmName};

state! {
    /// Paths that the platform calls on a node and on a target.
    #[derive(Copy, Eq)]
    pub struct Paths {
        /// Callers ask here which address to use.
        pub addresses: &'static str,
        /// The platform asks here whether the node takes requests.
        pub ready: &'static str,
        /// A target answers here with its report.
        pub report: &'static str,
    }

    /// What the head of a caller's request says beside its method and path.
    #[derive(Default, Eq)]
    pub struct CallerHead {
        /// Identity that the target echoes.
        pub request_id: Option<String>,
        /// How long the caller waits, in milliseconds.
        pub budget_ms: Option<u64>,
        /// The caller's key.
        pub key: Option<String>,
        /// The model asked for.
        pub model: Option<ModelName>,
        /// Tokens of the prompt.
        pub prompt_tokens: u32,
        /// Tokens of the answer, as the caller expects.
        pub output_tokens: Option<u32>,
        /// Tokens of the answer at most.
        pub output_tokens_max: u32,
        /// The last event of a stream that the caller has.
        pub last_event_id: Option<String>,
    }

    /// What this node says to a target beside what the caller said.
    #[derive(Eq)]
    pub struct TargetRequestHead<'a> {
        /// Time left, in milliseconds.
        pub budget_ms: u64,
        /// The target that is meant; any other refuses.
        pub expected: &'a VmName,
        /// Whose request it is; `None` where callers need no key.
        pub organisation: Option<&'a OrganisationName>,
        /// Rank among requests, 0 first.
        pub rank: u8,
        /// The last event that the caller has.
        pub last_event_id: Option<&'a str>,
    }

    /// What the head of a target's answer says beside its status.
    #[derive(Default, Eq)]
    pub struct AnswerHead {
        /// The identity that it echoes.
        pub request_id: Option<String>,
        /// Whether the target says that it has not run the request.
        pub not_run: bool,
        /// The target's load.
        pub load: Option<ReportedLoad>,
        /// The member that is at fault.
        pub reported_lost: Option<VmName>,
        /// How long the target keeps the channel idle, in seconds; `None` if it does not say.
        pub keep_alive_s: Option<u64>,
        /// Whether the target closes the channel after this answer.
        pub closes_channel: bool,
    }

    /// Load of a target as one of its answers tells it.
    #[derive(Copy, Eq)]
    pub struct ReportedLoad {
        /// Requests running.
        pub running: u32,
        /// Requests waiting.
        pub waiting: u32,
    }

    /// A call to a target.
    #[derive(Eq)]
    pub struct TargetCall {
        /// Its path.
        pub path: &'static str,
        /// Its JSON body.
        pub body: String,
    }
}

/// Addresses for callers, and how long they may be kept.
#[derive(Clone, Copy, Debug)]
pub struct AddressAnswer<'a> {
    /// Where callers may connect.
    pub addresses: &'a [SocketAddr],
    /// How long the answer may be kept, in milliseconds.
    pub ttl_ms: u64,
}
