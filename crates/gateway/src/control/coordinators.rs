use std::collections::{BTreeMap, BTreeSet};

use celeryhaven_fleet::FleetView;
use celeryhaven_forming::{
    DomainPlanner, DomainRecord, FormingAction, FormingEvent, FormingSettings, FormingView,
    PlannerId,
};
use celeryhaven_types::store::{ObjectKey, ObjectVersion, StoreReply, StoreRequest};
use celeryhaven_types::{DomainName, Generation, NodeName, TimeMs, VmName};

/// Prefix of the domain records in the store.
const PLACEMENT_PREFIX: &str = "placement/";

/// Coordinator of one domain on this node.
#[derive(Clone, Debug)]
pub(crate) struct Coordinator {
    pub(crate) planner: DomainPlanner,
    /// Version of the domain record when it was last read or written; `None` if there is no record.
    pub(crate) version: Option<ObjectVersion>,
}

/// Coordinators of the domains that this node coordinates.
#[derive(Clone, Debug, Default)]
pub(crate) struct Coordinators {
    pub(crate) domains: BTreeMap<DomainName, Coordinator>,
    /// The newest start of a process that was listed in each domain, in Unix milliseconds.
    newest_starts: BTreeMap<DomainName, u64>,
    /// Domains that were listed at the last update.
    listed: BTreeSet<DomainName>,
    /// Instance number of the next coordinator; starts at the boot number to be unique across
    /// restarts.
    next_instance: u64,
}

impl Coordinators {
    /// Creates an empty set; `boot` distinguishes this start of the process from others.
    pub(crate) fn new(boot: u64) -> Self {
        Self { next_instance: boot, ..Self::default() }
    }

    /// Records the newest start of a process in each listed domain; returns those listed before now.
    ///
    /// In a domain that was not listed at the last update, as its data centre was lost, no process has
    /// had an order of another coordinator yet.
    pub(crate) fn record_starts(
        &mut self,
        listed: &BTreeMap<&DomainName, Option<u64>>,
    ) -> BTreeMap<DomainName, u64> {
        let mut earlier = BTreeMap::new();
        for (&domain, &newest) in listed {
            let known = self.newest_starts.get(domain).copied();
            let was_listed = self.listed.contains(domain);
            let before = if was_listed { known.max(newest) } else { known };
            earlier.extend(before.map(|start| (domain.clone(), start)));
            let newest = known.max(newest);
            self.newest_starts.extend(newest.map(|start| (domain.clone(), start)));
        }
        if !listed.keys().copied().eq(self.listed.iter()) {
            self.listed = listed.keys().map(|&domain| domain.clone()).collect();
        }
        earlier
    }

    /// Replaces the set of coordinated domains; returns whether it has changed.
    ///
    /// `earlier_starts` are the newest starts of processes that an earlier coordinator may have given
    /// orders, by domain.
    pub(crate) fn set_domains(
        &mut self,
        now: TimeMs,
        node: &NodeName,
        domains: &BTreeSet<DomainName>,
        earlier_starts: &BTreeMap<DomainName, u64>,
        settings: FormingSettings,
    ) -> bool {
        let before = self.domains.len();
        self.domains.retain(|domain, _| domains.contains(domain));
        let mut changed = self.domains.len() != before;
        // The settings depend on the number of listed domains, which grows after startup.
        self.domains
            .values_mut()
            .for_each(|coordinator| coordinator.planner.set_settings(settings));
        for domain in domains {
            self.domains.entry(domain.clone()).or_insert_with(|| {
                changed = true;
                let planner = DomainPlanner::new(now, domain.clone(), node.clone(), settings);
                let mut planner = planner.with_id(PlannerId::new(self.next_instance));
                if let Some(&start) = earlier_starts.get(domain) {
                    planner = planner.with_earlier_start(start);
                }
                self.next_instance += 1;
                Coordinator { planner, version: None }
            });
        }
        changed
    }

    /// Whether no replica is being formed or dissolved.
    pub(crate) fn are_idle(&self) -> bool {
        self.domains.values().all(|coordinator| coordinator.planner.is_idle())
    }

    /// Runs every planner on the current view; returns the requested actions by domain.
    pub(crate) fn step(
        &mut self,
        now: TimeMs,
        view: FormingView<'_>,
    ) -> Vec<(DomainName, Vec<FormingAction>)> {
        let step_domain = |(domain, coordinator): (&DomainName, &mut Coordinator)| {
            let mut out = Vec::new();
            coordinator.planner.step(now, view, &mut out);
            (domain.clone(), out)
        };
        self.domains.iter_mut().map(step_domain).collect()
    }

    /// Passes an event to the planner of a domain; returns the requested actions.
    pub(crate) fn handle(
        &mut self,
        now: TimeMs,
        view: FormingView<'_>,
        domain: &DomainName,
        event: FormingEvent,
    ) -> Vec<FormingAction> {
        let mut out = Vec::new();
        if let Some(coordinator) = self.domains.get_mut(domain) {
            coordinator.planner.handle(now, view, event, &mut out);
        }
        out
    }
}

/// Returns the request that reads a domain record.
pub(crate) fn read_record_request(domain: &DomainName) -> StoreRequest {
    StoreRequest::Get { key: record_key(domain) }
}

/// Returns the request that writes a domain record, provided that it is still at `version`.
pub(crate) fn write_record_request(
    domain: &DomainName,
    version: Option<ObjectVersion>,
    record: &DomainRecord,
) -> Option<StoreRequest> {
    let value = serde_json::to_string(record).ok()?.into();
    let key = record_key(domain);
    Some(match version {
        Some(version) => StoreRequest::Update { key, version, value },
        None => StoreRequest::Create { key, value },
    })
}

/// Returns the planner event for a reply to a read, and the version of the record.
pub(crate) fn read_outcome(
    planner: PlannerId,
    reply: &StoreReply,
) -> (FormingEvent, Option<ObjectVersion>) {
    match reply {
        StoreReply::Found(object) => {
            // An unreadable record is replaced by an empty one; the reports of the members restore
            // the state.
            let record: DomainRecord = serde_json::from_str(&object.value).unwrap_or_default();
            let record = record.with_version(Generation::new(object.version.get()));
            (FormingEvent::RecordRead { planner, record }, Some(object.version))
        }
        StoreReply::Missing => {
            (FormingEvent::RecordRead { planner, record: DomainRecord::default() }, None)
        }
        _ => (FormingEvent::RecordFailed { planner }, None),
    }
}

/// Returns the planner event for a reply to a write, and the version of the record.
pub(crate) fn write_outcome(
    planner: PlannerId,
    reply: &StoreReply,
) -> (FormingEvent, Option<ObjectVersion>) {
    match reply {
        StoreReply::Written { version } => {
            let generation = Generation::new(version.get());
            (FormingEvent::RecordWritten { planner, generation }, Some(*version))
        }
        _ => (FormingEvent::RecordFailed { planner }, None),
    }
}

/// Returns the domain of a target.
pub(crate) fn domain_of_target(fleet: &FleetView, target: &VmName) -> Option<DomainName> {
    fleet.target(target)?.domain.clone()
}

fn record_key(domain: &DomainName) -> ObjectKey {
    ObjectKey::new(format!("{PLACEMENT_PREFIX}{domain}"))
}
