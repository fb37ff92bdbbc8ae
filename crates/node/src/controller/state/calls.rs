use std::collections::BTreeMap;

use celeryhaven_derives::state;
use celeryhaven_types::store::StoreCallId;
use celeryhaven_types::{DomainName, TimeMs};

use crate::controller::desk::Step;
use crate::controller::interface::OperatorTicket;

state! {
    /// Who waits for the answer to a call of the Object API.
    pub(crate) enum Route {
        /// The list of all leases.
        Leases,
        /// The lease of a fabric domain.
        DomainLease(DomainName),
        /// The lease of the allocation.
        AllocationLease,
        /// The placement of a fabric domain.
        Placement(DomainName),
        /// What the holder of a fabric domain sees of it.
        Health(DomainName),
        /// The allocation, by its holder.
        Allocation,
        /// All placements, for the holder of the allocation.
        Placements,
        /// The configuration, for holders.
        Config,
        /// The allocation, for holders of domains.
        Shares,
        /// A step of an operator's request.
        Operator(OperatorTicket, Step),
    }
}

/// Calls of the Object API that have no answer yet.
///
/// A call that stays without an answer ends as unknown, and its late answer is dropped: it could
/// otherwise be taken for the answer to a later call.
#[derive(Clone, Debug, Default)]
pub(crate) struct Calls {
    last: StoreCallId,
    waiting: BTreeMap<StoreCallId, (TimeMs, Route)>,
}

impl Calls {
    pub(crate) fn begin(&mut self, now: TimeMs, route: Route) -> StoreCallId {
        self.last = self.last.next();
        self.waiting.insert(self.last, (now, route));
        self.last
    }

    pub(crate) fn end(&mut self, call: StoreCallId) -> Option<Route> {
        self.waiting.remove(&call).map(|(_, route)| route)
    }

    /// Ends the oldest call that has waited for too long.
    pub(crate) fn end_late(
        &mut self,
        now: TimeMs,
        timeout_ms: u64,
    ) -> Option<(StoreCallId, Route)> {
        let late = self.waiting.iter().find(|(_, (sent, _))| now.since(*sent) >= timeout_ms);
        let call = late.map(|(call, _)| *call)?;
        self.end(call).map(|route| (call, route))
    }
}
