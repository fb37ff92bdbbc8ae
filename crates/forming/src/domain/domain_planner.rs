use std::collections::{BTreeMap, BTreeSet};

use celeryhaven_fleet::ReplicaKey;
use celeryhaven_types::{DomainName, Generation, ModelName, NodeName, ReplicaName, TimeMs, VmName};

use crate::domain::dissolved::Dissolved;
use crate::domain::formation::{Dissolving, Formation, PendingOrder, Silence};
use crate::domain::load_grants::LoadGrants;
use crate::domain::plan_pauses::PlanPauses;
use crate::domain::probe_limit::ProbeLimit;
use crate::domain::shared_return::SharedReturn;
use crate::domain::unlisted::UnlistedPlan;
use crate::interface::{
    FormingAction, FormingEvent, FormingSettings, FormingView, OrderId, PlannerId,
};
use crate::record::{DomainRecord, PlannedReplica};

/// State of the domain's record as seen by this planner.
#[derive(Clone, Debug, PartialEq)]
pub(crate) enum RecordState {
    /// Must be read.
    Unknown,
    /// Being read.
    Reading,
    /// Content as last read or written.
    Known(DomainRecord),
    /// Being written with new plans.
    Writing(DomainRecord),
}

/// Plans which targets of one fabric domain form which replica.
///
/// The caller invokes [`step`](Self::step) when the target list has changed and a few times a
/// second, and [`handle`](Self::handle) with the results of actions and with suspicions.
///
/// ```
/// use celeryhaven_forming::{DomainPlanner, FormingSettings};
/// use celeryhaven_types::{DomainName, NodeName, TimeMs};
///
/// let domain = DomainName::new("rack-1");
/// let node = NodeName::new("entry-1");
/// let planner = DomainPlanner::new(TimeMs::new(0), domain, node, FormingSettings::default());
/// assert!(planner.is_idle());
/// ```
#[derive(Clone, Debug)]
pub struct DomainPlanner {
    pub(crate) domain: DomainName,
    pub(crate) node: NodeName,
    /// Makes the replica names of this planner distinct from those of the node's earlier planners.
    pub(crate) id: PlannerId,
    pub(crate) settings: FormingSettings,
    pub(crate) record: RecordState,
    /// Earliest time of the next read after a failed one.
    pub(crate) record_retry_at: TimeMs,
    pub(crate) formations: BTreeMap<ReplicaKey, Formation>,
    pub(crate) dissolving: BTreeMap<ReplicaKey, Dissolving>,
    /// Replicas whose members were ordered to leave, for as long as they are listed.
    pub(crate) dissolved: BTreeMap<ReplicaKey, Dissolved>,
    /// Targets that have left a replica in which the target list still shows them.
    pub(crate) left: BTreeSet<(VmName, ReplicaKey)>,
    /// When another coordinator's unfinished replica was first seen.
    pub(crate) unfinished: BTreeMap<ReplicaKey, TimeMs>,
    /// Unreachable targets and the time of their next probe.
    pub(crate) unreachable: BTreeMap<VmName, TimeMs>,
    /// Targets that are silent, which are not lost.
    pub(crate) silent: BTreeMap<VmName, Silence>,
    /// Members whose entry was removed, the time of their next probe, and whether one was answered.
    pub(crate) departing: BTreeMap<VmName, (TimeMs, bool)>,
    /// When each unlisted member was last probed.
    pub(crate) unlisted_probed_at: BTreeMap<VmName, TimeMs>,
    /// When targets last answered a probe, if that is recent.
    pub(crate) answered_at: BTreeMap<VmName, TimeMs>,
    pub(crate) plan_pauses: PlanPauses,
    /// The wait for other domains whose targets return at the same time.
    pub(crate) shared_return: Option<SharedReturn>,
    probe_limit: ProbeLimit,
    pub(crate) staging: BTreeMap<VmName, (ModelName, TimeMs)>,
    /// Targets that refused to stage: when they may be asked again, and the pause in milliseconds.
    pub(crate) stage_backoff: BTreeMap<VmName, (TimeMs, u64)>,
    pub(crate) pending: BTreeMap<OrderId, PendingOrder>,
    pub(crate) load_grants: LoadGrants,
    /// Plans of this planner whose write has no confirmed result.
    pub(crate) unconfirmed: BTreeSet<ReplicaName>,
    /// The highest generation read from or written to the record.
    pub(crate) planned_generation: Generation,
    /// Plans of other coordinators that the target list does not show yet.
    pub(crate) unlisted_plans: BTreeMap<ReplicaName, UnlistedPlan>,
    /// Plans of the record that were unlisted and that no target can be in any more.
    pub(crate) resolved: BTreeSet<ReplicaName>,
    /// The model that a conversion is possible for, and since when.
    pub(crate) conversion_since: Option<(ModelName, TimeMs)>,
    /// The model of the latest conversion and the replicas that it dissolves.
    pub(crate) converting: Option<(ModelName, Vec<ReplicaKey>)>,
    pub(crate) orders_given: u64,
    pub(crate) next_replica_number: u64,
}

impl DomainPlanner {
    /// Creates a planner that has not read the domain's record yet.
    pub fn new(now: TimeMs, domain: DomainName, node: NodeName, settings: FormingSettings) -> Self {
        Self {
            domain,
            node,
            id: PlannerId::default(),
            settings,
            record: RecordState::Unknown,
            record_retry_at: now,
            formations: BTreeMap::new(),
            dissolving: BTreeMap::new(),
            dissolved: BTreeMap::new(),
            left: BTreeSet::new(),
            unfinished: BTreeMap::new(),
            unreachable: BTreeMap::new(),
            silent: BTreeMap::new(),
            departing: BTreeMap::new(),
            unlisted_probed_at: BTreeMap::new(),
            answered_at: BTreeMap::new(),
            plan_pauses: PlanPauses::default(),
            shared_return: None,
            probe_limit: ProbeLimit::default(),
            staging: BTreeMap::new(),
            stage_backoff: BTreeMap::new(),
            pending: BTreeMap::new(),
            load_grants: LoadGrants::new(),
            unconfirmed: BTreeSet::new(),
            planned_generation: Generation::default(),
            unlisted_plans: BTreeMap::new(),
            resolved: BTreeSet::new(),
            conversion_since: None,
            converting: None,
            orders_given: 0,
            next_replica_number: 0,
        }
    }

    /// Sets a number that is unique among the planners of this node and part of replica names.
    ///
    /// Without it, a node that coordinates a domain again would reuse names, and could take an old
    /// plan in the record or a listed replica for a new one.
    pub const fn with_id(mut self, id: PlannerId) -> Self {
        self.id = id;
        self
    }

    /// Returns that number.
    pub const fn id(&self) -> PlannerId {
        self.id
    }

    /// Sets the newest start among the processes that the node listed in the domain before it became
    /// coordinator, in Unix milliseconds.
    ///
    /// A later process carries out no load that an earlier coordinator has ordered. Without this, each
    /// join of a target with a staged model waits for a grant after a data centre has returned.
    pub const fn with_earlier_start(mut self, started_at_ms: u64) -> Self {
        self.load_grants.set_earlier_start(started_at_ms);
        self
    }

    /// Replaces the settings.
    pub const fn set_settings(&mut self, settings: FormingSettings) {
        self.settings = settings;
    }

    /// Whether no replica is being formed or dissolved and no order is pending.
    pub fn is_idle(&self) -> bool {
        self.formations.is_empty() && self.dissolving.is_empty() && self.pending.is_empty()
    }

    /// Evaluates the target list and appends the resulting actions.
    pub fn step(&mut self, now: TimeMs, view: FormingView<'_>, out: &mut Vec<FormingAction>) {
        let first = out.len();
        self.advance(now, view, out);
        self.probe_limit.apply(now, out, first);
    }

    fn advance(&mut self, now: TimeMs, view: FormingView<'_>, out: &mut Vec<FormingAction>) {
        self.load_grants.begin_step(now);
        self.plan_pauses.expire(now);
        if self.record == RecordState::Unknown && self.record_retry_at <= now {
            self.record = RecordState::Reading;
            out.push(FormingAction::ReadRecord { planner: self.id });
        }
        self.drop_unlisted_state(view);
        self.expire_dissolved(now, view);
        self.retract_unlisted_plans(now, view, out);
        self.probe_unreachable(now, out);
        self.probe_unlisted(now, view, out);
        self.retry_orders(now, out);
        self.release_held_orders(now, out);
        self.evaluate_replicas(now, view, out);
        self.advance_dissolving(now, view, out);
        if self.is_evacuated(view) {
            return;
        }
        self.convert(now, view, out);
        if matches!(self.record, RecordState::Known(_)) {
            self.plan(now, view, out);
        }
        self.send_held_joins(now, out);
        self.stage_free_targets(now, view, out);
    }

    /// Handles one event and appends the resulting actions.
    pub fn handle(
        &mut self,
        now: TimeMs,
        view: FormingView<'_>,
        event: FormingEvent,
        out: &mut Vec<FormingAction>,
    ) {
        let first = out.len();
        self.apply_event(now, view, event, out);
        self.probe_limit.apply(now, out, first);
    }

    fn apply_event(
        &mut self,
        now: TimeMs,
        view: FormingView<'_>,
        event: FormingEvent,
        out: &mut Vec<FormingAction>,
    ) {
        match event {
            // The call of an earlier planner of this node was under way when this one took over.
            FormingEvent::RecordRead { planner, .. }
            | FormingEvent::RecordWritten { planner, .. }
            | FormingEvent::RecordFailed { planner }
                if planner != self.id => {}
            FormingEvent::RecordRead { record, .. } => self.record_read(now, view, record, out),
            FormingEvent::RecordWritten { generation, .. } => {
                if let RecordState::Writing(record) = &self.record {
                    let new = record.replicas.iter().filter(|plan| plan.generation.is_none());
                    let new: Vec<PlannedReplica> = new.cloned().collect();
                    self.record = RecordState::Known(record.clone().with_version(generation));
                    // Joins are not sent once the data centre is evacuated: the plans lapse.
                    let begun = new.iter().filter(|_| !self.is_evacuated(view));
                    for plan in begun.collect::<Vec<_>>() {
                        self.begin_formation(now, view, plan, generation, out);
                    }
                    self.load_grants.end_reservation();
                    self.unconfirmed.clear();
                    self.planned_generation = generation;
                }
            }
            FormingEvent::RecordFailed { .. } => {
                self.load_grants.end_reservation();
                self.record_failed(now);
            }
            FormingEvent::LoadsGranted { granted } => {
                self.load_grants.put(granted);
                self.load_grants.begin_step(now);
                if !self.is_evacuated(view) {
                    self.send_held_joins(now, out);
                    if matches!(self.record, RecordState::Known(_)) {
                        self.plan(now, view, out);
                    }
                    self.stage_free_targets(now, view, out);
                }
            }
            FormingEvent::OrderCompleted { id, outcome } => {
                self.apply_order_outcome(now, id, outcome, out);
            }
            FormingEvent::ProbeCompleted { target, reachability } => {
                self.apply_probe_result(now, target, reachability);
            }
            FormingEvent::Suspected { replica } => self.probe_suspected(view, &replica, out),
            FormingEvent::LossReported { target } => out.push(FormingAction::Probe { target }),
        }
    }

    pub(crate) fn log_change(
        &self,
        replica: &ReplicaKey,
        change: &'static str,
        target: Option<&VmName>,
        out: &mut Vec<FormingAction>,
    ) {
        let (replica, target) = (replica.clone(), target.cloned());
        out.push(FormingAction::LogChange { replica, change, target });
    }

    /// Schedules a read of the record: at once after a failed write, after a pause otherwise.
    ///
    /// The pause keeps a store that rejects calls from being called in a tight loop.
    fn record_failed(&mut self, now: TimeMs) {
        if self.record == RecordState::Reading {
            self.record_retry_at = now.after(self.settings.record_retry_ms);
        }
        self.record = RecordState::Unknown;
    }

    /// Applies the record as read, and continues own plans whose write had no confirmed result.
    ///
    /// The record shows another coordinator's plans before the target list does, so the members of
    /// plans that were not listed recently count as taken for a while.
    fn record_read(
        &mut self,
        now: TimeMs,
        view: FormingView<'_>,
        record: DomainRecord,
        out: &mut Vec<FormingAction>,
    ) {
        let is_first = self.planned_generation == Generation::default();
        if is_first && record.decider.is_some() && self.serves_callers(view) == Some(true) {
            self.load_grants.expect_earlier_loads(now.after(self.settings.earlier_loads_ms));
        }
        let mut confirmed = Vec::new();
        let newest = record.replicas.iter().filter_map(|plan| plan.generation).max();
        self.resolved.retain(|name| record.replicas.iter().any(|plan| plan.replica == *name));
        for plan in &record.replicas {
            // A plan that was in the record before the write is not the one written.
            let is_new = plan.generation > Some(self.planned_generation);
            if is_new && self.unconfirmed.contains(&plan.replica) {
                confirmed.push(plan.clone());
            } else if !was_listed(view, plan) && !self.is_forming(&plan.replica) {
                self.track_unlisted_plan(now, plan);
            }
        }
        self.unconfirmed.clear();
        self.planned_generation = newest.unwrap_or_default().max(self.planned_generation);
        self.record = RecordState::Known(record);
        for plan in confirmed.iter().filter(|_| !self.is_evacuated(view)).collect::<Vec<_>>() {
            let generation = plan.generation.unwrap_or_default();
            self.begin_formation(now, view, plan, generation, out);
        }
    }

    /// Drops the state of targets and replicas that are no longer listed.
    fn drop_unlisted_state(&mut self, view: FormingView<'_>) {
        self.unreachable.retain(|name, _| view.fleet.target_or_removed(name).is_some());
        self.silent.retain(|name, _| view.fleet.target_or_removed(name).is_some());
        self.departing.retain(|name, _| {
            view.fleet.target_or_removed(name).is_some() && view.fleet.target(name).is_none()
        });
        self.unlisted_probed_at.retain(|name, _| view.fleet.unlisted(name).is_some());
        self.staging.retain(|name, _| view.fleet.target(name).is_some());
        self.stage_backoff.retain(|name, _| view.fleet.target(name).is_some());
        self.left.retain(|(name, key)| {
            let member = view.fleet.target(name).and_then(|entry| entry.membership.as_ref());
            member.is_some_and(|member| {
                member.replica == key.replica && member.generation == key.generation
            })
        });
        self.unfinished.retain(|key, _| view.replicas.contains_key(key));
        self.dissolving.retain(|key, dissolving| {
            let is_leaving = dissolving.closing_since.is_none() && !dissolving.remaining.is_empty();
            is_leaving || view.replicas.contains_key(key)
        });
    }

    /// Whether this planner is forming a replica of this name.
    pub(crate) fn is_forming(&self, replica: &ReplicaName) -> bool {
        self.formations.keys().any(|key| key.replica == *replica)
    }
}

/// Whether a planned replica is listed or was listed recently.
fn was_listed(view: FormingView<'_>, plan: &PlannedReplica) -> bool {
    let replica = plan.replica.clone();
    let lowest = ReplicaKey { replica, generation: Generation::default() };
    let listed = view.replicas.range(&lowest..).next().map(|(key, _)| key);
    let recently_listed = view.recently_listed.range(&lowest..).next();
    listed.into_iter().chain(recently_listed).any(|key| key.replica == plan.replica)
}
