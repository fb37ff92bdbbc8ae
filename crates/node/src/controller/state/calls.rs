use std::collections::BTreeMap;

use celeryhaven_derives::state;
use celeryhaven_types::store::StoreCallId;
use celeryhaven_types::{DomainName, TimeMs};

use crate::controller::interface::OperatorTicket;
use crate::controller::operators::Step;

state! {
    /// Destination of a reply of the Object API.
    pub(crate) enum Route {
        /// The list of all leases.
        Leases,
        /// The lease of a fabric domain.
        DomainLease(DomainName),
        /// The lease of the allocation.
        AllocationLease,
        /// The placement of a fabric domain.
        Placement(DomainName),
        /// The health record of a fabric domain.
        Health(DomainName),
        /// The allocation, by its holder.
        Allocation,
        /// All placements, for the holder of the allocation.
        Placements,
        /// The configuration, for holders.
        Config,
        /// The allocation, for holders of domains.
        Shares,
        /// A step of an operator request.
        Operator(OperatorTicket, Step),
    }
}

/// Calls of the Object API in progress.
///
/// A call that times out completes as unknown, and a reply that arrives later is dropped, so that
/// it is not mistaken for the reply to a later call.
#[derive(Clone, Debug, Default)]
pub(crate) struct Calls {
    last: StoreCallId,
    pending: BTreeMap<StoreCallId, (TimeMs, Route)>,
}

impl Calls {
    pub(crate) fn begin(&mut self, now: TimeMs, route: Route) -> StoreCallId {
        self.last = self.last.next();
        self.pending.insert(self.last, (now, route));
        self.last
    }

    pub(crate) fn complete(&mut self, call: StoreCallId) -> Option<Route> {
        self.pending.remove(&call).map(|(_, route)| route)
    }

    /// Removes the oldest call that has timed out.
    pub(crate) fn take_timed_out(
        &mut self,
        now: TimeMs,
        timeout_ms: u64,
    ) -> Option<(StoreCallId, Route)> {
        let timed_out = self.pending.iter().find(|(_, (sent, _))| now.since(*sent) >= timeout_ms);
        let call = timed_out.map(|(call, _)| *call)?;
        self.complete(call).map(|route| (call, route))
    }
}
