use std::cell::RefCell;

use celeryhaven_body_budget::SHORT_BYTES_MAX;
use celeryhaven_fleet::Route;
use celeryhaven_http::RequestBody;
use celeryhaven_quarantine::{CauseDigest, CauseKind};
use celeryhaven_types::{
    Idempotency, ModelName, OrganisationName, Priority, RequestClass, RequestHead, RequestId,
    ServiceName, TimeMs,
};
use http::{HeaderMap, Method, Uri};

use crate::adapter::CallerHead;
use crate::traffic::Delegated;

/// Relative worth of a request, used for every route.
const WORTH: u32 = 1;

/// The least urgent rank of a band at a target, and the first one of the late band.
const BAND_RANK_LAST: u8 = 4;
const LATE_RANK_FIRST: u8 = 5;

/// The least urgent rank.
const RANK_LAST: u8 = 9;

/// A caller request that is ready to be sent.
#[derive(Clone, Debug)]
pub(crate) struct CallerRequest {
    pub(crate) route: Route,
    pub(crate) service: ServiceName,
    /// The requested model; `None` for a plain service.
    pub(crate) model: Option<ModelName>,
    pub(crate) caller: CallerHead,
    pub(crate) organisation: Option<OrganisationName>,
    pub(crate) rank: u8,
    pub(crate) method: Method,
    pub(crate) uri: Uri,
    pub(crate) headers: HeaderMap,
    pub(crate) body: HeldBody,
    /// Identifies the request across its attempts and nodes.
    pub(crate) digest: CauseDigest,
    /// The parts of the prompt that other requests may share, in order.
    pub(crate) parts: Vec<CauseDigest>,
    pub(crate) arrived_at: TimeMs,
    pub(crate) deadline: TimeMs,
    /// What another node has said of it, if this node runs it for that one.
    pub(crate) delegated: Option<Delegated>,
    /// Whether the overload control applies.
    pub(crate) is_governed: bool,
    /// Whether its caller has been refused before; only if the overload control applies.
    pub(crate) is_return: bool,
}

/// The body of a request, for as long as a further attempt may need it.
#[derive(Clone, Debug)]
pub(crate) struct HeldBody(RefCell<Option<RequestBody>>);

impl HeldBody {
    /// Returns the body; `None` if it has been released.
    pub(crate) fn get(&self) -> Option<RequestBody> {
        self.0.borrow().clone()
    }

    /// Whether a node may refuse the body for want of room while it has room for others.
    pub(crate) fn is_long(&self) -> bool {
        self.0.borrow().as_ref().is_some_and(|body| body.len_bytes() > SHORT_BYTES_MAX)
    }

    /// Whether the body can be sent again.
    pub(crate) fn is_held(&self) -> bool {
        self.0.borrow().is_some()
    }

    /// Releases the body; a connection that still sends it keeps what it needs.
    pub(crate) fn release(&self) {
        self.0.take();
    }
}

impl From<RequestBody> for HeldBody {
    fn from(body: RequestBody) -> Self {
        Self(RefCell::new(Some(body)))
    }
}

impl CallerRequest {
    /// Returns what may end the targets that run the request: its content and the parts of its prompt.
    pub(crate) fn causes(&self) -> impl Iterator<Item = (CauseDigest, CauseKind)> {
        let parts = self.parts.iter().zip(0..);
        let parts = parts.map(|(part, depth)| (*part, CauseKind::Part { depth }));
        std::iter::once((self.digest, CauseKind::Content)).chain(parts)
    }

    /// Returns the request head for the policy, whose unit of output is `tokens_per_event` tokens.
    ///
    /// Requests with an equal `choice_key` get the same candidates at every node.
    pub(crate) fn head(
        &self,
        now: TimeMs,
        tokens_per_event: u32,
        choice_key: Option<u64>,
    ) -> RequestHead {
        let class = match &self.model {
            Some(model) => RequestClass::Completion { model: model.clone(), adapter: None },
            None => RequestClass::Plain { service: self.service.clone() },
        };
        let idempotency = match self.route.kind.may_repeat() {
            true => Idempotency::Idempotent,
            false => Idempotency::NonIdempotent,
        };
        let organisation = self.organisation.clone();
        RequestHead {
            id: RequestId::new(self.id()),
            organisation: organisation.unwrap_or_else(|| OrganisationName::new("")),
            class,
            priority: priority(self.rank),
            worth: WORTH,
            idempotency,
            deadline_in_ms: self.deadline.since(now),
            start_within_ms: (!self.is_return).then_some(self.route.objective_ms),
            attempts_max: Some(self.route.attempts_max),
            prompt_tokens: self.caller.prompt_tokens,
            output_tokens_max: self.events_allowed(tokens_per_event),
            prefix_hashes: Vec::new(),
            choice_key,
        }
    }

    /// Returns the rank that a target is told.
    ///
    /// Engines admit the more urgent requests first, so that first tries that can be in time come
    /// before late requests whichever node they are at. An answer that has begun goes on as it began.
    pub(crate) fn target_rank(&self, now: TimeMs, has_begun: bool) -> u8 {
        if !self.is_governed {
            return self.rank;
        }
        let rank = self.rank.min(BAND_RANK_LAST);
        if self.is_late(now) && (self.is_return || !has_begun) {
            LATE_RANK_FIRST + rank
        } else {
            rank
        }
    }

    /// Returns the band at a time; `None` if the overload control does not apply.
    pub(crate) fn band(&self, now: TimeMs) -> Option<&'static str> {
        self.is_governed.then_some(if self.is_late(now) { "late" } else { "timely" })
    }

    fn is_late(&self, now: TimeMs) -> bool {
        self.is_return || now.since(self.arrived_at) > self.route.objective_ms
    }

    /// Returns the number of events that the answer may hold.
    pub(crate) fn events_allowed(&self, tokens_per_event: u32) -> u32 {
        let output = self.caller.output_tokens.unwrap_or(self.caller.output_tokens_max);
        output.div_ceil(tokens_per_event.max(1))
    }

    /// Returns the request id, or an empty string if the caller sent none.
    pub(crate) fn id(&self) -> &str {
        self.caller.request_id.as_deref().unwrap_or("")
    }

    /// Whether the request may be sent again after it may have run.
    pub(crate) fn may_repeat(&self) -> bool {
        self.route.kind.may_repeat()
    }
}

/// Converts a rank, where 0 is the most urgent, to a priority, where the highest is.
fn priority(rank: u8) -> Priority {
    Priority::new(RANK_LAST.saturating_sub(rank))
}
