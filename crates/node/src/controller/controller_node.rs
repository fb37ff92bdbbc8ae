use std::collections::BTreeMap;

use celeryhaven_lease::{Lease, Proximity};
use celeryhaven_placement::{Allocation, DeploymentStatus};
use celeryhaven_types::store::{Object, ObjectKey, StoreCallId, StoreReply, StoreRequest};
use celeryhaven_types::{
    Config, DataCentreName, DeploymentName, DomainName, Fence, Incarnation, TimeMs,
};

use crate::controller::interface::{ControllerAction, ControllerEvent, ControllerOptions};
use crate::controller::operators::OperatorRequests;
use crate::controller::state::{
    AllocationControl, Calls, DomainControl, DomainInputs, Fleet, Outbox, Reader, Route,
};
use crate::machine::Machine;

/// How long a leaving controller waits for its leases to be released, in milliseconds.
const LEAVE_TIMEOUT_MS: u64 = 3_000;

/// State machine of a controller: leases, placement, orders and operator requests.
///
/// Every entry VM runs one. Leases in the Object API determine which controller acts for a fabric
/// domain; every controller answers operators.
///
/// ```
/// use celeryhaven_node::{ControllerAction, ControllerEvent, ControllerNode, ControllerOptions};
/// use celeryhaven_node::Machine;
/// use celeryhaven_types::{Boot, DataCentreName, Incarnation, NodeName, TimeMs};
///
/// let me = Incarnation::new(NodeName::new("entry-1"), Boot::new(7));
/// let data_centre = DataCentreName::new("riga-1");
/// let mut node = ControllerNode::new(me, data_centre, ControllerOptions::default(), 42);
/// let mut actions = Vec::new();
/// node.handle(TimeMs::new(0), ControllerEvent::Tick, &mut actions);
/// assert!(actions.contains(&ControllerAction::ReadVmList));
/// ```
#[derive(Clone, Debug)]
pub struct ControllerNode {
    me: Incarnation,
    data_centre: DataCentreName,
    options: ControllerOptions,
    seed: u64,
    calls: Calls,
    fleet: Fleet,
    config: Reader<Config>,
    shares: Reader<Allocation>,
    domains: BTreeMap<DomainName, DomainControl>,
    allocation: AllocationControl,
    operators: OperatorRequests,
    vm_list_due_at: TimeMs,
    leases_due_at: TimeMs,
    next_wake: TimeMs,
    leaving_since: Option<TimeMs>,
    has_left: bool,
}

/// Construction and queries.
impl ControllerNode {
    /// Creates a controller without state; `seed` must differ among processes.
    pub fn new(
        me: Incarnation,
        data_centre: DataCentreName,
        options: ControllerOptions,
        seed: u64,
    ) -> Self {
        let key = ObjectKey::new("leases/allocation");
        let lease = Lease::new(key, me.clone(), Proximity::Near, options.lease, seed);
        Self {
            me,
            data_centre,
            options,
            seed,
            calls: Calls::default(),
            fleet: Fleet::default(),
            config: Reader::new("config/current"),
            shares: Reader::new("allocation/current"),
            domains: BTreeMap::new(),
            allocation: AllocationControl::new(lease),
            operators: OperatorRequests::default(),
            vm_list_due_at: TimeMs::default(),
            leases_due_at: TimeMs::default(),
            next_wake: TimeMs::default(),
            leaving_since: None,
            has_left: false,
        }
    }

    /// Returns the fabric domains whose lease is held, with their fencing numbers.
    pub fn held_domains(&self, now: TimeMs) -> Vec<(DomainName, Fence)> {
        let held = self.domains.iter();
        held.filter_map(|(name, domain)| Some((name.clone(), domain.lease_client.held(now)?)))
            .collect()
    }

    /// Whether the allocation lease is held.
    pub fn holds_allocation(&self, now: TimeMs) -> bool {
        self.allocation.lease_client.held(now).is_some()
    }

    /// Returns the replica figures of each deployment, summed over the held domains.
    pub fn figures(&self, now: TimeMs) -> Vec<DeploymentStatus> {
        let inputs = self.inputs();
        let mut sums: BTreeMap<DeploymentName, DeploymentStatus> = BTreeMap::new();
        for figures in self.domains.values().flat_map(|domain| domain.figures(now, inputs)) {
            match sums.get_mut(&figures.deployment) {
                None => drop(sums.insert(figures.deployment.clone(), figures)),
                Some(sum) => {
                    sum.wanted += figures.wanted;
                    sum.whole += figures.whole;
                    sum.stranded_accelerators =
                        sum.stranded_accelerators.saturating_add(figures.stranded_accelerators);
                }
            }
        }
        sums.into_values().collect()
    }

    fn inputs(&self) -> DomainInputs<'_> {
        DomainInputs {
            options: &self.options,
            fleet: &self.fleet,
            config: self.config.value(),
            allocation: self.shares.value(),
        }
    }

    /// Returns the configuration that was read last.
    pub fn config(&self) -> Option<&Config> {
        self.config.value()
    }
}

impl Machine for ControllerNode {
    type Event = ControllerEvent;
    type Action = ControllerAction;

    fn handle(&mut self, now: TimeMs, event: ControllerEvent, out: &mut Vec<ControllerAction>) {
        match event {
            ControllerEvent::Tick => {}
            ControllerEvent::Store { call, reply } => self.store_replied(now, call, reply, out),
            ControllerEvent::VmList { entries } => self.fleet.apply_list(entries),
            ControllerEvent::Polled { vm, took_ms, outcome } => {
                // The report is at least as old as the request.
                let asked_at = TimeMs::new(now.get().saturating_sub(took_ms));
                let domain = self.fleet.entry(&vm).and_then(|entry| entry.domain.clone());
                if let Some(control) = domain.and_then(|domain| self.domains.get_mut(&domain)) {
                    control.polled(asked_at, &vm, outcome);
                }
            }
            ControllerEvent::Ordered { vm, order_id, outcome } => {
                for domain in self.domains.values_mut() {
                    domain.ordered(now, &vm, order_id, outcome);
                }
            }
            ControllerEvent::Operator { ticket, operator, request, at_unix_ms } => {
                let deadline = now.after(self.options.operator_timeout_ms);
                let mut out = Outbox { now, calls: &mut self.calls, actions: out };
                self.operators.begin(ticket, operator, request, at_unix_ms, deadline, &mut out);
            }
            ControllerEvent::Leave => self.leave(now),
        }
        self.advance(now, out);
    }

    fn next_wake(&self) -> Option<TimeMs> {
        (!self.has_left).then_some(self.next_wake)
    }
}

/// Replies of the Object API.
impl ControllerNode {
    fn store_replied(
        &mut self,
        now: TimeMs,
        call: StoreCallId,
        reply: StoreReply,
        out: &mut Vec<ControllerAction>,
    ) {
        if let Some(route) = self.calls.complete(call) {
            self.route(now, call, route, reply, out);
        }
    }

    fn route(
        &mut self,
        now: TimeMs,
        call: StoreCallId,
        route: Route,
        reply: StoreReply,
        out: &mut Vec<ControllerAction>,
    ) {
        match route {
            Route::Leases => self.observe_leases(now, &reply),
            Route::AllocationLease => self.allocation.lease_client.reply(now, call, reply),
            Route::DomainLease(name) => {
                if let Some(domain) = self.domains.get_mut(&name) {
                    domain.lease_replied(now, call, reply);
                }
            }
            Route::Placement(name) => {
                if let Some(domain) = self.domains.get_mut(&name) {
                    domain.placement_replied(now, reply);
                }
            }
            Route::Health(name) => {
                if let Some(domain) = self.domains.get_mut(&name) {
                    domain.health_replied(now, reply);
                }
            }
            Route::Allocation => self.allocation.allocation_replied(now, reply),
            Route::Placements => self.allocation.placements_replied(&reply),
            Route::Config => self.config.reply(&reply),
            Route::Shares => self.shares.reply(&reply),
            Route::Operator(ticket, step) => {
                let mut out = Outbox { now, calls: &mut self.calls, actions: out };
                self.operators.step_completed(
                    ticket,
                    step,
                    reply,
                    &self.fleet,
                    self.options.status_max_age_ms,
                    &mut out,
                );
            }
        }
    }

    /// Applies a list of leases; a lease that the list lacks has no object yet.
    fn observe_leases(&mut self, now: TimeMs, reply: &StoreReply) {
        let StoreReply::Listed { objects, .. } = reply else { return };
        let find = |key: &ObjectKey| -> Option<&Object> { objects.iter().find(|o| o.key == *key) };
        for domain in self.domains.values_mut() {
            let lease = &mut domain.lease_client.lease;
            lease.observe(now, find(&lease.key().clone()));
        }
        let lease = &mut self.allocation.lease_client.lease;
        lease.observe(now, find(&lease.key().clone()));
    }
}

/// Timers that are due.
impl ControllerNode {
    fn advance(&mut self, now: TimeMs, out: &mut Vec<ControllerAction>) {
        while let Some((call, route)) =
            self.calls.take_timed_out(now, self.options.store_timeout_ms)
        {
            self.route(now, call, route, StoreReply::Unknown, out);
        }
        self.add_domains();
        let held = self.held_domains(now).len() + usize::from(self.holds_allocation(now));
        let handicap_ms = held as u64 * self.options.handicap_per_lease_ms;
        self.read_due(now, held > 0, out);
        let mut outbox = Outbox { now, calls: &mut self.calls, actions: out };
        let inputs = DomainInputs {
            options: &self.options,
            fleet: &self.fleet,
            config: self.config.value(),
            allocation: self.shares.value(),
        };
        self.allocation.advance(handicap_ms, inputs, &mut outbox);
        for domain in self.domains.values_mut() {
            domain.advance(handicap_ms, inputs, &mut outbox);
        }
        self.operators.advance(&mut outbox);
        self.next_wake = now.after(self.options.tick_ms);
        self.finish_leaving(now, out);
    }

    /// Issues the reads that are due: the VM list and the leases, and for holders also the
    /// configuration and the allocation.
    fn read_due(&mut self, now: TimeMs, is_holder: bool, out: &mut Vec<ControllerAction>) {
        let mut out = Outbox { now, calls: &mut self.calls, actions: out };
        if now >= self.vm_list_due_at {
            self.vm_list_due_at = now.after(self.options.vm_list_interval_ms);
            out.push(ControllerAction::ReadVmList);
        }
        if now >= self.leases_due_at {
            self.leases_due_at = now.after(self.options.leases_interval_ms);
            let prefix = ObjectKey::new("leases/");
            out.store(Route::Leases, StoreRequest::List { prefix });
        }
        if is_holder {
            if let Some(request) = self.config.poll(now, self.options.config_interval_ms) {
                out.store(Route::Config, request);
            }
            if let Some(request) = self.shares.poll(now, self.options.config_interval_ms) {
                out.store(Route::Shares, request);
            }
        }
    }

    /// Becomes a candidate for fabric domains that the VM list names.
    fn add_domains(&mut self) {
        for (name, data_centre) in self.fleet.domains() {
            if self.domains.contains_key(name) {
                continue;
            }
            let nearness = match *data_centre == self.data_centre {
                true => Proximity::Near,
                false => Proximity::Far,
            };
            // With one seed for all leases, one controller would win all of them.
            let seed = name.as_str().bytes().fold(self.seed, |seed, byte| {
                seed.wrapping_mul(0x0100_0000_01b3) ^ u64::from(byte)
            });
            let key = ObjectKey::new(format!("leases/{name}"));
            let mut lease = Lease::new(key, self.me.clone(), nearness, self.options.lease, seed);
            if self.leaving_since.is_some() {
                lease.release();
            }
            let control = DomainControl::new(name.clone(), data_centre.clone(), lease);
            self.domains.insert(name.clone(), control);
        }
    }

    /// Releases all leases, so that other controllers need not wait for them to expire.
    fn leave(&mut self, now: TimeMs) {
        self.leaving_since.get_or_insert(now);
        self.allocation.lease_client.lease.release();
        self.domains.values_mut().for_each(|domain| domain.lease_client.lease.release());
    }

    fn finish_leaving(&mut self, now: TimeMs, out: &mut Vec<ControllerAction>) {
        let Some(since) = self.leaving_since.filter(|_| !self.has_left) else { return };
        let domains = self.domains.values().map(|domain| &domain.lease_client.lease);
        let mut leases = domains.chain([&self.allocation.lease_client.lease]);
        let holds = leases.any(|lease| {
            lease.record().is_some_and(|record| record.holder == self.me && !record.released)
        });
        if !holds || now.since(since) >= LEAVE_TIMEOUT_MS {
            self.has_left = true;
            out.push(ControllerAction::Left);
        }
    }
}
