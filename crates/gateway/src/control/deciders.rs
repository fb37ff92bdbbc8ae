use std::collections::{BTreeMap, BTreeSet};

use celeryhaven_fleet::FleetView;
use celeryhaven_forming::{
    DomainPlanner, DomainRecord, FormingAction, FormingEvent, FormingSettings, FormingView,
};
use celeryhaven_types::store::{ObjectKey, ObjectVersion, StoreReply, StoreRequest};
use celeryhaven_types::{DomainName, Generation, NodeName, TimeMs, VmName};

/// Prefix of the domains' records in the store.
const PLACEMENT_PREFIX: &str = "placement/";

/// One domain that this node decides for.
#[derive(Clone, Debug)]
pub(crate) struct Decider {
    pub(crate) planner: DomainPlanner,
    /// Version at which its record was read or written last; `None` if there is none.
    pub(crate) version: Option<ObjectVersion>,
}

/// The domains that this node decides for.
#[derive(Clone, Debug, Default)]
pub(crate) struct Deciders {
    pub(crate) domains: BTreeMap<DomainName, Decider>,
    /// Of the next decider; it begins with the start of the process, so that no two are the same.
    next_instance: u64,
}

impl Deciders {
    /// Decides for nothing yet; `boot` tells this start of the process from others.
    pub(crate) fn new(boot: u64) -> Self {
        Self { domains: BTreeMap::new(), next_instance: boot }
    }

    /// Decides for these domains and no others from now on; true if that is a change.
    pub(crate) fn set(
        &mut self,
        now: TimeMs,
        node: &NodeName,
        domains: &BTreeSet<DomainName>,
        settings: FormingSettings,
    ) -> bool {
        let before = self.domains.len();
        self.domains.retain(|domain, _| domains.contains(domain));
        let mut changed = self.domains.len() != before;
        // The first deciders begin when few of the domains are listed.
        self.domains.values_mut().for_each(|decider| decider.planner.set_settings(settings));
        for domain in domains {
            self.domains.entry(domain.clone()).or_insert_with(|| {
                changed = true;
                let planner = DomainPlanner::new(now, domain.clone(), node.clone(), settings);
                let planner = planner.with_instance(self.next_instance);
                self.next_instance += 1;
                Decider { planner, version: None }
            });
        }
        changed
    }

    /// Whether nothing is being formed or taken apart here.
    pub(crate) fn are_idle(&self) -> bool {
        self.domains.values().all(|decider| decider.planner.is_idle())
    }

    /// Lets every decider look at the list; what each wants done, by domain.
    pub(crate) fn step(
        &mut self,
        now: TimeMs,
        view: FormingView<'_>,
    ) -> Vec<(DomainName, Vec<FormingAction>)> {
        let step = |(domain, decider): (&DomainName, &mut Decider)| {
            let mut out = Vec::new();
            decider.planner.step(now, view, &mut out);
            (domain.clone(), out)
        };
        self.domains.iter_mut().map(step).collect()
    }

    /// Hands an event to one decider.
    pub(crate) fn handle(
        &mut self,
        now: TimeMs,
        view: FormingView<'_>,
        domain: &DomainName,
        event: FormingEvent,
    ) -> Vec<FormingAction> {
        let mut out = Vec::new();
        if let Some(decider) = self.domains.get_mut(domain) {
            decider.planner.handle(now, view, event, &mut out);
        }
        out
    }
}

/// The call that reads a domain's record.
pub(crate) fn read_record(domain: &DomainName) -> StoreRequest {
    StoreRequest::Get { key: record_key(domain) }
}

/// The call that writes a domain's record, if it is still at the version.
pub(crate) fn write_record(
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

/// What a read of a record tells its decider, and the version of the record.
pub(crate) fn record_read(reply: &StoreReply) -> (FormingEvent, Option<ObjectVersion>) {
    match reply {
        StoreReply::Found(object) => {
            // A record that cannot be read is written anew; the members' reports tell what is.
            let record: DomainRecord = serde_json::from_str(&object.value).unwrap_or_default();
            let record = record.with_version(Generation::new(object.version.get()));
            (FormingEvent::RecordRead { record }, Some(object.version))
        }
        StoreReply::Missing => (FormingEvent::RecordRead { record: DomainRecord::default() }, None),
        _ => (FormingEvent::RecordFailed, None),
    }
}

/// What a write of a record tells its decider, and the version of the record.
pub(crate) fn record_written(reply: &StoreReply) -> (FormingEvent, Option<ObjectVersion>) {
    match reply {
        StoreReply::Written { version } => {
            let generation = Generation::new(version.get());
            (FormingEvent::RecordWritten { generation }, Some(*version))
        }
        _ => (FormingEvent::RecordFailed, None),
    }
}

/// The domain of a target, or of a replica's members.
pub(crate) fn domain_of_target(fleet: &FleetView, target: &VmName) -> Option<DomainName> {
    fleet.target(target)?.domain.clone()
}

fn record_key(domain: &DomainName) -> ObjectKey {
    ObjectKey::new(format!("{PLACEMENT_PREFIX}{domain}"))
}
