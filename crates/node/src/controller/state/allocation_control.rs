use celeryhaven_lease::Lease;
use celeryhaven_placement::{Allocation, allocate};
use celeryhaven_types::store::{ObjectKey, StoreReply, StoreRequest};
use celeryhaven_types::{Config, DomainPlacement, Fence, TimeMs};

use crate::controller::state::{
    CapacityHold, DomainInputs, LeaseClient, Outbox, Route, VersionedObject,
};

/// The allocation of replicas to fabric domains: its lease and, while that is held, its inputs.
#[derive(Clone, Debug)]
pub(crate) struct AllocationControl {
    pub(crate) lease_client: LeaseClient,
    allocation: VersionedObject<Allocation>,
    capacity: CapacityHold,
    placements: Option<Vec<DomainPlacement>>,
    placements_due_at: TimeMs,
    term_fence: Option<Fence>,
    next_write_id: u64,
}

impl AllocationControl {
    pub(crate) fn new(lease: Lease) -> Self {
        Self {
            lease_client: LeaseClient::new(lease, Route::AllocationLease),
            allocation: VersionedObject::new("allocation/current".to_owned()),
            capacity: CapacityHold::default(),
            placements: None,
            placements_due_at: TimeMs::default(),
            term_fence: None,
            next_write_id: 0,
        }
    }

    pub(crate) fn advance(
        &mut self,
        handicap_ms: u64,
        inputs: DomainInputs<'_>,
        out: &mut Outbox<'_>,
    ) {
        self.lease_client.advance(handicap_ms, out);
        let Some(fence) = self.lease_client.held(out.now) else {
            self.term_fence = None;
            return;
        };
        if self.term_fence != Some(fence) {
            self.term_fence = Some(fence);
            self.next_write_id = 0;
            self.placements = None;
            self.capacity = CapacityHold::default();
            self.allocation.invalidate();
        }
        self.read(inputs, out);
        if let (Some(config), true) = (inputs.config, inputs.fleet.is_loaded()) {
            self.update_allocation(fence, config, inputs, out);
        }
    }

    fn read(&mut self, inputs: DomainInputs<'_>, out: &mut Outbox<'_>) {
        if let Some(request) = self.allocation.poll(out.now) {
            out.store(Route::Allocation, request);
        }
        if out.now >= self.placements_due_at {
            self.placements_due_at = out.now.after(inputs.options.placements_interval_ms);
            let prefix = ObjectKey::new("placement/");
            out.store(Route::Placements, StoreRequest::List { prefix });
        }
    }

    fn update_allocation(
        &mut self,
        fence: Fence,
        config: &Config,
        inputs: DomainInputs<'_>,
        out: &mut Outbox<'_>,
    ) {
        let hold_ms = inputs.options.capacity_hold_ms;
        let domains = self.capacity.capacities(out.now, hold_ms, inputs.fleet, config);
        let (Some(current), Some(placements)) = (self.allocation.current(), &self.placements)
        else {
            return;
        };
        let current_shares = current.map(|current| current.shares.as_slice()).unwrap_or_default();
        let shares = allocate(&config.intent, &domains, current_shares, placements);
        let is_current = current.is_some_and(|current| {
            current.fence == fence && current.config == config.number && current.shares == shares
        });
        // Written by a later holder, or from a newer configuration than was read here.
        let is_ahead =
            current.is_some_and(|current| current.fence > fence || current.config > config.number);
        if is_current || is_ahead {
            return;
        }
        let next =
            Allocation { fence, write_id: self.next_write_id, config: config.number, shares };
        if let Some(request) = self.allocation.write(out.now, next) {
            self.next_write_id += 1;
            out.store(Route::Allocation, request);
        }
    }

    pub(crate) fn allocation_replied(&mut self, now: TimeMs, reply: StoreReply) {
        self.allocation.reply(now, reply);
    }

    pub(crate) fn placements_replied(&mut self, reply: &StoreReply) {
        if let StoreReply::Listed { objects, .. } = reply {
            let parsed = objects.iter().map(|object| serde_json::from_str(&object.value).ok());
            self.placements = Some(parsed.flatten().collect());
        }
    }
}
