use std::collections::{BTreeMap, BTreeSet};

use celeryhaven_fleet::ReplicaKey;
use celeryhaven_types::{DomainName, Generation, ModelName, NodeName, ReplicaName, TimeMs, VmName};

use crate::domain::formation::{Dissolving, Formation, PendingOrder};
use crate::domain::loads::Loads;
use crate::domain::unseen::UnseenPlan;
use crate::interface::{FormingAction, FormingEvent, FormingSettings, FormingView, OrderCall};
use crate::record::{DomainRecord, PlannedReplica};

/// What this decider knows of the domain's record.
#[derive(Clone, Debug, PartialEq)]
pub(crate) enum RecordState {
    /// Nothing; it must be read.
    Unknown,
    /// It is being read.
    Reading,
    /// As read or written last.
    Known(DomainRecord),
    /// It is being written with these plans new.
    Writing(DomainRecord),
}

/// Decides for one fabric domain which targets form which replica.
///
/// Its owner calls [`step`](Self::step) when the list of targets has changed and a few times a
/// second, and [`handle`](Self::handle) with what became of its actions.
///
/// ```
/// use celeryhaven_forming::{DomainPlanner, FormingSettings};
/// use celeryhaven_types::{DomainName, NodeName, TimeMs};
///
/// let domain = DomainName::new("rack-1");
/// let node = NodeName::new("entry-1");
/// let former = DomainPlanner::new(TimeMs::new(0), domain, node, FormingSettings::default());
/// assert!(former.is_idle());
/// ```
#[derive(Clone, Debug)]
pub struct DomainPlanner {
    pub(crate) domain: DomainName,
    pub(crate) node: NodeName,
    /// Tells this decider's names of replicas from those of one that the node had before.
    pub(crate) instance: u64,
    pub(crate) settings: FormingSettings,
    pub(crate) record: RecordState,
    /// When the record is read again after a read that failed.
    pub(crate) read_again_at: TimeMs,
    pub(crate) formations: BTreeMap<ReplicaKey, Formation>,
    pub(crate) dissolving: BTreeMap<ReplicaKey, Dissolving>,
    /// Targets that have left a replica which the list still shows them in.
    pub(crate) left: BTreeSet<(VmName, ReplicaKey)>,
    /// When another decider's unfinished replica was first seen.
    pub(crate) unfinished: BTreeMap<ReplicaKey, TimeMs>,
    /// Unreachable targets, and when each is probed next.
    pub(crate) unreachable: BTreeMap<VmName, TimeMs>,
    /// Members whose entry was removed, and when each is probed next; `true` once one answered.
    pub(crate) departing: BTreeMap<VmName, (TimeMs, bool)>,
    pub(crate) staging: BTreeMap<VmName, (ModelName, TimeMs)>,
    /// Targets that have refused to stage, until when they are not asked again, and how long that
    /// was, in milliseconds.
    pub(crate) unstageable: BTreeMap<VmName, (TimeMs, u64)>,
    pub(crate) pending: BTreeMap<OrderCall, PendingOrder>,
    pub(crate) loads: Loads,
    /// Plans of this decider whose write got no answer.
    pub(crate) unconfirmed: BTreeSet<ReplicaName>,
    /// The highest generation of a plan in the record, as it was read or written last.
    pub(crate) planned_generation: Generation,
    /// Plans of others that no member names yet.
    pub(crate) unseen: BTreeMap<ReplicaName, UnseenPlan>,
    /// Plans of the record that were unseen and that nothing may be in any more.
    pub(crate) resolved: BTreeSet<ReplicaName>,
    /// A model that another could be given up for, and since when.
    pub(crate) short_since: Option<(ModelName, TimeMs)>,
    /// The model that replicas were given up for last, and which.
    pub(crate) converting: Option<(ModelName, Vec<ReplicaKey>)>,
    pub(crate) next_call: OrderCall,
    pub(crate) next_name: u64,
}

impl DomainPlanner {
    /// A decider that knows nothing yet.
    pub fn new(now: TimeMs, domain: DomainName, node: NodeName, settings: FormingSettings) -> Self {
        let loads = Loads::new(now, settings.loads_per_s, settings.loads_saved_max);
        Self {
            domain,
            node,
            instance: 0,
            settings,
            record: RecordState::Unknown,
            read_again_at: now,
            formations: BTreeMap::new(),
            dissolving: BTreeMap::new(),
            left: BTreeSet::new(),
            unfinished: BTreeMap::new(),
            unreachable: BTreeMap::new(),
            departing: BTreeMap::new(),
            staging: BTreeMap::new(),
            unstageable: BTreeMap::new(),
            pending: BTreeMap::new(),
            loads,
            unconfirmed: BTreeSet::new(),
            planned_generation: Generation::default(),
            unseen: BTreeMap::new(),
            resolved: BTreeSet::new(),
            short_since: None,
            converting: None,
            next_call: OrderCall::default(),
            next_name: 0,
        }
    }

    /// Puts a number into the names of its replicas that no decider of this node had before.
    ///
    /// Guards against a name that is used twice: a node that takes a domain back counts from one
    /// again, and an old plan in the record, or a replica in the list, passes for the new one.
    pub fn with_instance(mut self, instance: u64) -> Self {
        self.instance = instance;
        self
    }

    /// Takes over settings that follow the configuration.
    pub fn set_settings(&mut self, settings: FormingSettings) {
        self.loads.set_rate(settings.loads_per_s);
        self.settings = settings;
    }

    /// Whether nothing is being formed or taken apart.
    pub fn is_idle(&self) -> bool {
        self.formations.is_empty() && self.dissolving.is_empty() && self.pending.is_empty()
    }

    /// Looks at the list of targets and appends what is to be done.
    pub fn step(&mut self, now: TimeMs, view: FormingView<'_>, out: &mut Vec<FormingAction>) {
        if self.record == RecordState::Unknown && self.read_again_at <= now {
            self.record = RecordState::Reading;
            out.push(FormingAction::ReadRecord);
        }
        self.forget_unlisted(view);
        self.retract_unseen(now, view, out);
        self.probe_unreachable(now, out);
        self.send_again(now, out);
        self.judge_replicas(now, view, out);
        self.advance_dissolving(now, view, out);
        self.convert(now, view, out);
        if matches!(self.record, RecordState::Known(_)) {
            self.plan(view, out);
        }
        self.stage_free(now, view, out);
    }

    /// Takes one event and appends what is to be done at once.
    pub fn handle(
        &mut self,
        now: TimeMs,
        view: FormingView<'_>,
        event: FormingEvent,
        out: &mut Vec<FormingAction>,
    ) {
        match event {
            FormingEvent::RecordRead { record } => self.record_read(now, view, record, out),
            FormingEvent::RecordWritten { generation } => {
                if let RecordState::Writing(record) = &self.record {
                    let new = record.replicas.iter().filter(|plan| plan.generation.is_none());
                    let new: Vec<PlannedReplica> = new.cloned().collect();
                    self.record = RecordState::Known(record.clone().at(generation));
                    new.iter().for_each(|plan| self.begin(now, view, plan, generation, out));
                    self.unconfirmed.clear();
                    self.planned_generation = generation;
                }
            }
            FormingEvent::RecordFailed => self.record_failed(now),
            FormingEvent::Ordered { call, outcome } => self.ordered(now, call, outcome, out),
            FormingEvent::Probed { target, reachability } => {
                self.probed(now, target, reachability);
            }
            FormingEvent::Suspected { replica } => self.suspected(view, &replica, out),
            FormingEvent::Accused { target } => out.push(FormingAction::Probe { target }),
        }
    }

    pub(crate) fn note(
        &self,
        replica: &ReplicaKey,
        change: &'static str,
        target: Option<&VmName>,
        out: &mut Vec<FormingAction>,
    ) {
        let (replica, target) = (replica.clone(), target.cloned());
        out.push(FormingAction::Note { replica, change, target });
    }

    /// Reads the record anew: at once after a write that met a newer one, later after a read.
    ///
    /// Load: the store turns calls away at once. Harm: each refused read led to the next, and all
    /// count against the rate that the nodes share. Limit: half a second.
    fn record_failed(&mut self, now: TimeMs) {
        if self.record == RecordState::Reading {
            self.read_again_at = now.after(self.settings.read_again_ms);
        }
        self.record = RecordState::Unknown;
    }

    /// Takes over the record, and goes on with own plans whose write got no answer.
    ///
    /// Guards against two plans for the same targets: those of another decider show in the record
    /// before any member names them, so their members count as taken for a while. A replica that the
    /// list has shown before is not new: without that, each change of the decider kept the members
    /// of all that had been taken apart idle for as long.
    fn record_read(
        &mut self,
        now: TimeMs,
        view: FormingView<'_>,
        record: DomainRecord,
        out: &mut Vec<FormingAction>,
    ) {
        let mut confirmed = Vec::new();
        let newest = record.replicas.iter().filter_map(|plan| plan.generation).max();
        self.resolved.retain(|name| record.replicas.iter().any(|plan| plan.replica == *name));
        for plan in &record.replicas {
            // One that was there before the write is not what the write has planned.
            let is_new = plan.generation > Some(self.planned_generation);
            if is_new && self.unconfirmed.contains(&plan.replica) {
                confirmed.push(plan.clone());
            } else if !is_shown(view, plan) && !self.is_forming(&plan.replica) {
                self.note_unseen(now, plan);
            }
        }
        self.unconfirmed.clear();
        self.planned_generation = newest.unwrap_or_default().max(self.planned_generation);
        self.record = RecordState::Known(record);
        for plan in &confirmed {
            let generation = plan.generation.unwrap_or_default();
            self.begin(now, view, plan, generation, out);
        }
    }

    /// Forgets what is remembered of targets and replicas that nobody lists any more.
    fn forget_unlisted(&mut self, view: FormingView<'_>) {
        self.unreachable.retain(|name, _| view.fleet.target_or_removed(name).is_some());
        self.departing.retain(|name, _| {
            view.fleet.target_or_removed(name).is_some() && view.fleet.target(name).is_none()
        });
        self.staging.retain(|name, _| view.fleet.target(name).is_some());
        self.unstageable.retain(|name, _| view.fleet.target(name).is_some());
        self.left.retain(|(name, key)| {
            let member = view.fleet.target(name).and_then(|entry| entry.membership.as_ref());
            member.is_some_and(|member| {
                member.replica == key.replica && member.generation == key.generation
            })
        });
        self.unfinished.retain(|key, _| view.replicas.contains_key(key));
        self.dissolving.retain(|key, dissolving| {
            let is_leaving = dissolving.closed_at.is_none() && !dissolving.waiting.is_empty();
            is_leaving || view.replicas.contains_key(key)
        });
    }

    /// Whether this decider forms a replica of this name.
    pub(crate) fn is_forming(&self, replica: &ReplicaName) -> bool {
        self.formations.keys().any(|key| key.replica == *replica)
    }
}

/// Whether the list shows a planned replica, or has shown it.
fn is_shown(view: FormingView<'_>, plan: &PlannedReplica) -> bool {
    let replica = plan.replica.clone();
    let first = ReplicaKey { replica, generation: Generation::default() };
    let listed = view.replicas.range(&first..).next().map(|(key, _)| key);
    let shown = view.shown.range(&first..).next();
    listed.into_iter().chain(shown).any(|key| key.replica == plan.replica)
}
