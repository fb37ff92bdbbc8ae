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
use crate::controller::state::{Fleet, LeaseClient, LeaseTerm, Outbox, Route, VersionedObject};
use crate::entry::PollOutcome;

/// Inputs that all fabric domains of a controller share.
#[derive(Clone, Copy, Debug)]
pub(crate) struct DomainInputs<'a> {
    pub(crate) options: &'a ControllerOptions,
    pub(crate) fleet: &'a Fleet,
    pub(crate) config: Option<&'a Config>,
    pub(crate) allocation: Option<&'a Allocation>,
}

/// One fabric domain: its lease and, while that is held, its placement and members.
#[derive(Clone, Debug)]
pub(crate) struct DomainControl {
    domain: DomainName,
    data_centre: DataCentreName,
    pub(crate) lease_client: LeaseClient,
    placement: VersionedObject<DomainPlacement>,
    health: VersionedObject<DomainHealth>,
    health_due_at: TimeMs,
    term: Option<LeaseTerm>,
}

impl DomainControl {
    pub(crate) fn new(domain: DomainName, data_centre: DataCentreName, lease: Lease) -> Self {
        let lease_client = LeaseClient::new(lease, Route::DomainLease(domain.clone()));
        Self {
            lease_client,
            placement: VersionedObject::new(format!("placement/{domain}")),
            health: VersionedObject::new(format!("health/{domain}")),
            health_due_at: TimeMs::default(),
            domain,
            data_centre,
            term: None,
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
            self.term = None;
            return;
        };
        if self.term.as_ref().is_none_or(|term| term.fence != fence) {
            self.term = Some(LeaseTerm::new(fence, inputs.options));
            self.placement.invalidate();
            self.health.invalidate();
        }
        if let Some(request) = self.placement.poll(out.now) {
            out.store(Route::Placement(self.domain.clone()), request);
        }
        match self.placement.current().map(Option::<&DomainPlacement>::cloned) {
            None => {}
            // Another controller has taken the lease, so the renewal will fail; or the lease object
            // was removed.
            Some(Some(placement)) if placement.fence > fence => {
                self.lease_client.lease.raise_fence(placement.fence);
            }
            Some(Some(placement)) if placement.fence == fence => {
                self.reconcile(placement, inputs, out);
            }
            Some(placement) => self.fence_placement(fence, placement, out),
        }
    }

    /// Rewrites the placement with this holder's fencing number before any other change.
    ///
    /// Fences off a previous holder that was paused between its check and its write: its write
    /// names the previous version and fails. If its write came first, this one fails and reads it.
    fn fence_placement(
        &mut self,
        fence: Fence,
        placement: Option<DomainPlacement>,
        out: &mut Outbox<'_>,
    ) {
        let new = || empty_placement(self.domain.clone(), self.data_centre.clone());
        let placement = placement.unwrap_or_else(new);
        self.write(DomainPlacement { fence, ..placement }, out);
    }

    fn write(&mut self, mut placement: DomainPlacement, out: &mut Outbox<'_>) {
        let Some(term) = self.term.as_mut() else { return };
        placement.write_id = term.next_write_id;
        if let Some(request) = self.placement.write(out.now, placement) {
            term.next_write_id += 1;
            out.store(Route::Placement(self.domain.clone()), request);
        }
    }

    /// Reconciles the domain once the placement carries this holder's fencing number.
    fn reconcile(
        &mut self,
        placement: DomainPlacement,
        inputs: DomainInputs<'_>,
        out: &mut Outbox<'_>,
    ) {
        let (Some(term), Some(config)) = (self.term.as_mut(), inputs.config) else { return };
        term.update_vms(out.now, &self.domain, inputs.fleet, config);
        term.poll(inputs.options.poll_interval_ms, out);
        let Some(wanted) = wanted(&self.domain, config, inputs.allocation) else { return };
        let view = DomainView {
            placement: &placement,
            vms: &term.vms,
            wanted: &wanted,
            objective: config.intent.objective,
        };
        let broken = broken_replicas(out.now, inputs.options.placement, view);
        let next = term.planner.revise(out.now, view);
        self.write_health(broken, inputs.options.health_interval_ms, out);
        match next {
            Some(next) => self.write(next, out),
            None => self.send_orders(&placement, &wanted, config, inputs.options, out),
        }
    }

    /// Writes the health record for operators if the set of broken replicas has changed.
    fn write_health(&mut self, broken: Vec<ReplicaName>, interval_ms: u64, out: &mut Outbox<'_>) {
        let Some(term) = self.term.as_mut().filter(|_| out.now >= self.health_due_at) else {
            return;
        };
        let route = Route::Health(self.domain.clone());
        if let Some(request) = self.health.poll(out.now) {
            out.store(route, request);
            return;
        }
        let Some(known) = self.health.current() else { return };
        let (domain, fence) = (self.domain.clone(), term.fence);
        if known.is_some_and(|known| known.fence == fence && known.broken == broken) {
            return;
        }
        let next = DomainHealth { domain, fence, write_id: term.next_write_id, broken };
        if let Some(request) = self.health.write(out.now, next) {
            term.next_write_id += 1;
            self.health_due_at = out.now.after(interval_ms);
            out.store(route, request);
        }
    }

    /// Sends the orders that follow from the stored placement.
    fn send_orders(
        &mut self,
        placement: &DomainPlacement,
        wanted: &[WantedDeployment],
        config: &Config,
        options: &ControllerOptions,
        out: &mut Outbox<'_>,
    ) {
        let (Some(term), Some(until)) = (self.term.as_mut(), self.lease_client.lease.held_until())
        else {
            return;
        };
        let view =
            DomainView { placement, vms: &term.vms, wanted, objective: config.intent.objective };
        let due = orders(out.now, &options.placement, view);
        term.orders.retain_due(&due);
        let send_before = until.min(out.now.after(options.placement.order_life_ms));
        for order in due {
            let Some(address) = term.vms.get(&order.vm).map(|state| state.address) else {
                continue;
            };
            let (retry_ms, effect_timeout_ms) =
                (options.order_retry_ms, options.order_effect_timeout_ms);
            let Some(number) = term.orders.send(out.now, retry_ms, effect_timeout_ms, &order)
            else {
                continue;
            };
            let order_id = order_id(term.fence, number);
            let (domain, fence) = (self.domain.clone(), term.fence);
            let sent = Order { domain, fence, order_id, kind: order.kind };
            out.push(ControllerAction::Order { vm: order.vm, address, order: sent, send_before });
        }
    }
}

/// Queries.
impl DomainControl {
    /// Returns the replica figures of each deployment here; empty unless the lease is held.
    pub(crate) fn figures(&self, now: TimeMs, inputs: DomainInputs<'_>) -> Vec<DeploymentStatus> {
        let known = self.term.as_ref().zip(self.placement.current().flatten());
        let (Some((term, placement)), Some(config)) = (known, inputs.config) else {
            return Vec::new();
        };
        let wanted = wanted(&self.domain, config, inputs.allocation).unwrap_or_default();
        let (vms, objective) = (&term.vms, config.intent.objective);
        let view = DomainView { placement, vms, wanted: &wanted, objective };
        deployment_statuses(now, inputs.options.placement, view)
    }
}

/// Replies and reports.
impl DomainControl {
    pub(crate) fn lease_replied(&mut self, now: TimeMs, call: StoreCallId, reply: StoreReply) {
        self.lease_client.reply(now, call, reply);
    }

    pub(crate) fn placement_replied(&mut self, now: TimeMs, reply: StoreReply) {
        self.placement.reply(now, reply);
    }

    pub(crate) fn health_replied(&mut self, now: TimeMs, reply: StoreReply) {
        self.health.reply(now, reply);
    }

    pub(crate) fn polled(&mut self, asked_at: TimeMs, vm: &VmName, outcome: PollOutcome) {
        let vms = self.term.as_mut().map(|term| &mut term.vms);
        let Some(state) = vms.and_then(|vms| vms.get_mut(vm)) else { return };
        match outcome {
            // The address may have been reassigned to another VM.
            PollOutcome::Reported(report) if report.vm == *vm => {
                state.apply_report(asked_at, report);
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
        if let Some(term) = self.term.as_mut() {
            let number = order_id & NUMBER_MASK;
            if order_id == self::order_id(term.fence, number) {
                term.orders.completed(now, vm, number, outcome);
            }
        }
    }
}

/// Low bits of an order's identity that number the orders of one lease term; the fencing number is
/// above them.
const NUMBER_BITS: u32 = 32;
const NUMBER_MASK: u64 = (1 << NUMBER_BITS) - 1;

fn order_id(fence: Fence, number: u64) -> u64 {
    (fence.get() << NUMBER_BITS) | (number & NUMBER_MASK)
}

/// Returns the replicas that the domain is to hold; `None` until that is known.
///
/// An allocation made from a newer configuration than the one at hand may name a deployment that
/// this one lacks; its replicas would be stopped and restarted.
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
