use async_channel::Sender;
use celeryhaven_clock::BootClock;
use celeryhaven_fleet::{OrderOutcome, TargetOrder};
use celeryhaven_forming::{
    DomainRecord, FormingAction, FormingEvent, OrderId, PlannerId, Reachability,
};
use celeryhaven_telemetry::metrics::OutcomeLabel;
use celeryhaven_types::store::{ObjectVersion, StoreReply};
use celeryhaven_types::{DomainName, ModelName, ReplicaName, TimeMs, VmName};
use slog::info;

use crate::adapter::Adapter;
use crate::control::coordination::NODE_PROBE_INTERVAL_MS;
use crate::control::coordinators::{
    read_outcome, read_record_request, write_outcome, write_record_request,
};
use crate::control::counted_store::StoreCallKind;
use crate::control::event::ControlEvent;
use crate::control::{CalledTarget, Control};

impl<A: Adapter> Control<A> {
    /// Executes the actions of a coordinator; their results arrive as events.
    pub(super) fn execute_actions(&mut self, domain: &DomainName, actions: Vec<FormingAction>) {
        for action in actions {
            let domain = domain.clone();
            match action {
                FormingAction::ReadRecord { planner } => self.read_record(domain, planner),
                FormingAction::WriteRecord { planner, record } => {
                    self.write_record(domain, planner, &record);
                }
                FormingAction::Order { id, target, order, send_by } => {
                    self.send_order(domain, (id, target), order, send_by);
                }
                FormingAction::RecordLoad { grant, outcome } => {
                    self.load_quota.record_outcome(&grant, outcome);
                }
                FormingAction::Probe { target } => self.send_probe(domain, target),
                FormingAction::RecordLoadOrder { target, order, grant } => {
                    self.load_quota.record_order(&grant);
                    info!(self.parts.log, "load ordered"; "domain" => domain.as_str(),
                        "target" => target.as_str(), "order" => order, "grant" => grant.as_str(),
                        "callers_served" => self.callers_served());
                }
                FormingAction::CountFailedFormation { cause } => {
                    let label = OutcomeLabel { call: "form", outcome: cause.as_str() };
                    self.parts.metrics.formations_failed.get_or_create(&label).inc();
                }
                FormingAction::LogChange { replica, change, target } => {
                    info!(self.parts.log, "replica"; "replica" => replica.replica.as_str(),
                        "generation" => replica.generation.get(), "change" => change,
                        "domain" => domain.as_str(),
                        "target" => target.as_ref().map(VmName::as_str));
                }
            }
        }
    }

    fn read_record(&self, domain: DomainName, planner: PlannerId) {
        let (store, events) = (self.store.clone(), self.parts.events.0.clone());
        let read = async move {
            let reply = store.call(StoreCallKind::Placement, &read_record_request(&domain)).await;
            let outcome = read_outcome(planner, &reply);
            send_record_event(&events, (domain, planner), &reply, outcome).await;
        };
        self.executor.spawn(read).detach();
    }

    fn write_record(&self, domain: DomainName, planner: PlannerId, record: &DomainRecord) {
        let (store, events) = (self.store.clone(), self.parts.events.0.clone());
        let version =
            self.coordinators.domains.get(&domain).and_then(|coordinator| coordinator.version);
        let Some(request) = write_record_request(&domain, version, record) else { return };
        let write = async move {
            let reply = store.call(StoreCallKind::Placement, &request).await;
            let outcome = write_outcome(planner, &reply);
            send_record_event(&events, (domain, planner), &reply, outcome).await;
        };
        self.executor.spawn(write).detach();
    }

    fn send_order(
        &self,
        domain: DomainName,
        (id, target): (OrderId, VmName),
        order: TargetOrder,
        send_by: Option<TimeMs>,
    ) {
        let called = self.fleet.target_or_removed(&target).map(CalledTarget::new);
        let replaced_at = BootClock.now().after(NODE_PROBE_INTERVAL_MS);
        let send_by = send_by.map_or(replaced_at, |send_by| send_by.min(replaced_at));
        let (client, events) = (self.parts.target_client.clone(), self.parts.events.0.clone());
        let (orders, log) = (self.parts.metrics.orders.clone(), self.parts.log.clone());
        let send = async move {
            // This node may have been suspended since the order was planned.
            let is_late = BootClock.now() >= send_by;
            let outcome = match &called {
                _ if is_late => OrderOutcome::Refused,
                Some(called) => client.send_order(called, &order).await,
                None => OrderOutcome::TargetRemoved,
            };
            let label = OutcomeLabel { call: order.as_str(), outcome: outcome.as_str() };
            orders.get_or_create(&label).inc();
            info!(log, "order"; "domain" => domain.as_str(), "target" => target.as_str(),
                "order" => order.as_str(), "outcome" => outcome.as_str(),
                "replica" => order.replica().map(ReplicaName::as_str),
                "model" => order.model().map(ModelName::as_str));
            let event = FormingEvent::OrderCompleted { id, outcome };
            events.send(ControlEvent::Forming(domain, event)).await.unwrap_or_default();
        };
        self.executor.spawn(send).detach();
    }

    fn send_probe(&self, domain: DomainName, target: VmName) {
        let called = self.fleet.target_or_removed(&target).map(CalledTarget::new);
        let (client, events) = (self.parts.target_client.clone(), self.parts.events.0.clone());
        let log = self.parts.log.clone();
        let probe = async move {
            let reachability = match &called {
                Some(called) => client.probe_target(called).await,
                None => Some(Reachability::Gone),
            };
            let Some(reachability) = reachability else {
                // The planner probes again, or learns from the store that the target is gone.
                info!(log, "probe withheld"; "target" => target.as_str());
                return;
            };
            info!(log, "probe"; "target" => target.as_str(),
                "reachability" => format!("{reachability:?}"));
            let event = FormingEvent::ProbeCompleted { target, reachability };
            events.send(ControlEvent::Forming(domain, event)).await.unwrap_or_default();
        };
        self.executor.spawn(probe).detach();
    }
}

async fn send_record_event(
    events: &Sender<ControlEvent>,
    (domain, planner): (DomainName, PlannerId),
    reply: &StoreReply,
    (event, version): (FormingEvent, Option<ObjectVersion>),
) {
    if !reply.is_processed() {
        events.send(ControlEvent::StoreCallFailed).await.unwrap_or_default();
    }
    let version = ControlEvent::RecordVersion(domain.clone(), planner, version);
    events.send(version).await.unwrap_or_default();
    events.send(ControlEvent::Forming(domain, event)).await.unwrap_or_default();
}
