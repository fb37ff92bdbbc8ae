use celeryhaven_lease::Lease;
use celeryhaven_types::store::{StoreCallId, StoreReply};
use celeryhaven_types::{Fence, TimeMs};

use crate::controller::interface::ControllerAction;
use crate::controller::state::{Outbox, Route};

/// A lease and its call in progress.
///
/// The lease times out its calls itself; only a reply to its most recent call is passed to it.
#[derive(Clone, Debug)]
pub(crate) struct LeaseClient {
    pub(crate) lease: Lease,
    route: Route,
    call: Option<StoreCallId>,
}

impl LeaseClient {
    pub(crate) const fn new(lease: Lease, route: Route) -> Self {
        Self { lease, route, call: None }
    }

    pub(crate) fn advance(&mut self, handicap_ms: u64, out: &mut Outbox<'_>) {
        self.lease.set_extra_wait_ms(handicap_ms);
        if let Some(request) = self.lease.poll(out.now) {
            let call = out.calls.begin(out.now, self.route.clone());
            self.call = Some(call);
            out.push(ControllerAction::Store { call, request });
        }
    }

    pub(crate) fn reply(&mut self, now: TimeMs, call: StoreCallId, reply: StoreReply) {
        if self.call == Some(call) {
            self.call = None;
            self.lease.apply_reply(now, reply);
        }
    }

    pub(crate) fn held(&self, now: TimeMs) -> Option<Fence> {
        self.lease.held(now)
    }
}
