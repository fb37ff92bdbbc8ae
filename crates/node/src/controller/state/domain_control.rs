use celeryhaven_lease::Lease;
use celeryhaven_placement::{
    Allocation, DeploymentStatus, DomainView, WantedDeployment, broken_replicas,
    deployment_statuses, empty_placement, orders,
};
use celeryhaven_types::store::{StoreCallId, StoreReply};
use celeryhaven_types::{
    Config, DataCentreName, DomainHealth, DomainName, DomainPlacement, Fence, Order, ReplicaName,
    TimeMs, VmName,
};

use crate::controller::interface::{ControllerAction, ControllerOptions, OrderOutcome};
use crate::controller::state::{Fleet, Guarded, LeaseSlot, Outbox, Route, Tenure};
use crate::entry::PollOutcome;

/// What all fabric domains of a controller go by.
#[derive(Clone, Copy, Debug)]
pub(crate) struct DomainInputs<'a> {
    pub(crate) options: &'a ControllerOptions,
    pub(crate) fleet: &'a Fleet,
    pub(crate) config: Option<&'a Config>,
    pub(crate) allocation: Option<&'a Allocation>,
}

/// One fabric domain: its lease, and while that is held, its placement and members.
#[derive(Clone, Debug)]
pub(crate) struct DomainControl {
    domain: DomainName,
    data_centre: DataCentreName,
    pub(crate) slot: LeaseSlot,
    placement: Guarded<DomainPlacement>,
    health: Guarded<DomainHealth>,
    health_due_at: TimeMs,
    tenure: Option<Tenure>,
}

impl DomainControl {
    pub(crate) fn new(domain: DomainName, data_centre: DataCentreName, lease: Lease) -> Self {
        let slot = LeaseSlot::new(lease, Route::DomainLease(domain.clone()));
        Self {
            slot,
            placement: Guarded::new(format!("placement/{domain}")),
            health: Guarded::new(format!("health/{domain}")),
            health_due_at: TimeMs::default(),
            domain,
            data_centre,
            tenure: None,
        }
    }

    pub(crate) fn advance(
        &mut self,
        handicap_ms: u64,
        inputs: DomainInputs<'_>,
        out: &mut Outbox<'_>,
    ) {
        self.slot.advance(handicap_ms, out);
        let Some(fence) = self.slot.held(out.now) else {
            self.tenure = None;
            return;
        };
        if self.tenure.as_ref().is_none_or(|tenure| tenure.fence != fence) {
            self.tenure = Some(Tenure::new(fence, inputs.options));
            self.placement.forget();
            self.health.forget();
        }
        if let Some(request) = self.placement.poll(out.now) {
            out.store(Route::Placement(self.domain.clone()), request);
        }
        match self.placement.settled().map(Option::<&DomainPlacement>::cloned) {
            None => {}
            // Somebody took the lease over, and the renewal will fail; or its object was removed.
            Some(Some(placement)) if placement.fence > fence => {
                self.slot.lease.raise_fence(placement.fence);
            }
            Some(Some(placement)) if placement.fence == fence => self.work(placement, inputs, out),
            Some(placement) => self.touch(fence, placement, out),
        }
    }

    /// Rewrites the placement with this holder's number before anything else.
    ///
    /// Guards against a former holder that was paused between its check and its write: its write
    /// names the version before this one and fails. If it came first, this one fails and reads it.
    fn touch(&mut self, fence: Fence, placement: Option<DomainPlacement>, out: &mut Outbox<'_>) {
        let new = || empty_placement(self.domain.clone(), self.data_centre.clone());
        let placement = placement.unwrap_or_else(new);
        self.write(DomainPlacement { fence, ..placement }, out);
    }

    fn write(&mut self, mut placement: DomainPlacement, out: &mut Outbox<'_>) {
        let Some(tenure) = self.tenure.as_mut() else { return };
        placement.write_id = tenure.writes;
        if let Some(request) = self.placement.write(out.now, placement) {
            tenure.writes += 1;
            out.store(Route::Placement(self.domain.clone()), request);
        }
    }

    /// One round of a holder whose number stands in the placement.
    fn work(&mut self, placement: DomainPlacement, inputs: DomainInputs<'_>, out: &mut Outbox<'_>) {
        let (Some(tenure), Some(config)) = (self.tenure.as_mut(), inputs.config) else { return };
        tenure.follow(out.now, &self.domain, inputs.fleet, config);
        tenure.poll(inputs.options.poll_interval_ms, out);
        let Some(wanted) = wanted(&self.domain, config, inputs.allocation) else { return };
        let view = DomainView {
            placement: &placement,
            vms: &tenure.vms,
            wanted: &wanted,
            objective: config.intent.objective,
        };
        let broken = broken_replicas(out.now, inputs.options.placement, view);
        let next = tenure.planner.revise(out.now, view);
        self.tell_health(broken, inputs.options.health_interval_ms, out);
        match next {
            Some(next) => self.write(next, out),
            None => self.give_orders(&placement, &wanted, config, inputs.options, out),
        }
    }

    /// Writes for operators which replicas are not whole, when that has changed.
    fn tell_health(&mut self, broken: Vec<ReplicaName>, interval_ms: u64, out: &mut Outbox<'_>) {
        let Some(tenure) = self.tenure.as_mut().filter(|_| out.now >= self.health_due_at) else {
            return;
        };
        let route = Route::Health(self.domain.clone());
        if let Some(request) = self.health.poll(out.now) {
            out.store(route, request);
            return;
        }
        let Some(known) = self.health.settled() else { return };
        let (domain, fence) = (self.domain.clone(), tenure.fence);
        if known.is_some_and(|known| known.fence == fence && known.broken == broken) {
            return;
        }
        let next = DomainHealth { domain, fence, write_id: tenure.writes, broken };
        if let Some(request) = self.health.write(out.now, next) {
            tenure.writes += 1;
            self.health_due_at = out.now.after(interval_ms);
            out.store(route, request);
        }
    }

    /// Sends the orders that follow from the placement as it stands in the store.
    fn give_orders(
        &mut self,
        placement: &DomainPlacement,
        wanted: &[WantedDeployment],
        config: &Config,
        options: &ControllerOptions,
        out: &mut Outbox<'_>,
    ) {
        let (Some(tenure), Some(until)) = (self.tenure.as_mut(), self.slot.lease.held_until())
        else {
            return;
        };
        let view =
            DomainView { placement, vms: &tenure.vms, wanted, objective: config.intent.objective };
        let due = orders(out.now, &options.placement, view);
        tenure.orders.keep_due(&due);
        let send_before = until.min(out.now.after(options.placement.order_life_ms));
        for order in due {
            let Some(address) = tenure.vms.get(&order.vm).map(|state| state.address) else {
                continue;
            };
            let (retry_ms, settle_ms) = (options.order_retry_ms, options.order_settle_ms);
            let Some(number) = tenure.orders.send(out.now, retry_ms, settle_ms, &order) else {
                continue;
            };
            let order_id = order_id(tenure.fence, number);
            let (domain, fence) = (self.domain.clone(), tenure.fence);
            let sent = Order { domain, fence, order_id, kind: order.kind };
            out.push(ControllerAction::Order { vm: order.vm, address, order: sent, send_before });
        }
    }
}

/// What can be seen from outside.
impl DomainControl {
    /// How each deployment stands here; empty unless the lease is held.
    pub(crate) fn figures(&self, now: TimeMs, inputs: DomainInputs<'_>) -> Vec<DeploymentStatus> {
        let known = self.tenure.as_ref().zip(self.placement.settled().flatten());
        let (Some((tenure, placement)), Some(config)) = (known, inputs.config) else {
            return Vec::new();
        };
        let wanted = wanted(&self.domain, config, inputs.allocation).unwrap_or_default();
        let (vms, objective) = (&tenure.vms, config.intent.objective);
        let view = DomainView { placement, vms, wanted: &wanted, objective };
        deployment_statuses(now, inputs.options.placement, view)
    }
}

/// What it hears.
impl DomainControl {
    pub(crate) fn lease_ended(&mut self, now: TimeMs, call: StoreCallId, reply: StoreReply) {
        self.slot.reply(now, call, reply);
    }

    pub(crate) fn placement_ended(&mut self, now: TimeMs, reply: StoreReply) {
        self.placement.reply(now, reply);
    }

    pub(crate) fn health_ended(&mut self, now: TimeMs, reply: StoreReply) {
        self.health.reply(now, reply);
    }

    pub(crate) fn polled(&mut self, asked_at: TimeMs, vm: &VmName, outcome: PollOutcome) {
        let vms = self.tenure.as_mut().map(|tenure| &mut tenure.vms);
        let Some(state) = vms.and_then(|vms| vms.get_mut(vm)) else { return };
        match outcome {
            // Only if it answered as itself: the address may have gone to another VM.
            PollOutcome::Reported(report) if report.vm == *vm => {
                state.apply_report(asked_at, report)
            }
            _ => state.record_poll_failure(asked_at),
        }
    }

    pub(crate) fn ordered(
        &mut self,
        now: TimeMs,
        vm: &VmName,
        order_id: u64,
        outcome: OrderOutcome,
    ) {
        if let Some(tenure) = self.tenure.as_mut() {
            let number = order_id & NUMBER_MASK;
            if order_id == self::order_id(tenure.fence, number) {
                tenure.orders.ended(now, vm, number, outcome);
            }
        }
    }
}

/// Bits of an order's identity that count the orders of one tenure; the fence is above them.
const NUMBER_BITS: u32 = 32;
const NUMBER_MASK: u64 = (1 << NUMBER_BITS) - 1;

fn order_id(fence: Fence, number: u64) -> u64 {
    (fence.get() << NUMBER_BITS) | (number & NUMBER_MASK)
}

/// What the domain is to hold; `None` while that is not known.
///
/// An allocation made from a newer configuration than the one at hand may name a deployment that
/// this one lacks; stopping its replicas would be undone a second later.
fn wanted(
    domain: &DomainName,
    config: &Config,
    allocation: Option<&Allocation>,
) -> Option<Vec<WantedDeployment>> {
    let allocation = allocation.filter(|allocation| allocation.config <= config.number)?;
    let shares = allocation.shares.iter().filter(|share| share.domain == *domain);
    let wanted = shares.filter_map(|share| {
        let deployments = &config.intent.deployments;
        let mut deployment = deployments.iter().find(|d| d.name == share.deployment)?.clone();
        deployment.version = share.version.clone();
        Some(WantedDeployment { deployment, replicas: share.replicas })
    });
    Some(wanted.collect())
}
