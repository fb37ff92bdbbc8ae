use std::collections::BTreeMap;

use celeryhaven_fleet::TargetEntry;
use celeryhaven_load_quota::{GrantId, GrantedLoads, LoadNeeds};
use celeryhaven_types::{ModelName, TimeMs, VmName};

use crate::domain::DomainPlanner;
use crate::domain::free::{Warmth, warmth};

/// Time in which a stage order that was not answered may still be carried out, in milliseconds.
const LATE_STAGE_MS: u64 = 15_000;

/// A load that an order may begin.
#[derive(Clone, Debug)]
pub(crate) struct GrantedLoad {
    pub(crate) grant: GrantId,
    /// When the order must have been sent.
    pub(crate) send_by: TimeMs,
}

/// Loads that a planner may begin, and what it knows of loads that may be under way.
#[derive(Clone, Debug)]
pub(crate) struct LoadGrants {
    /// The grant that is being used up.
    granted: Option<GrantedLoads>,
    /// Granted loads that are kept for the joins of plans that are being written.
    reserved: u32,
    /// Loads that were needed in this step and not granted.
    needed: LoadNeeds,
    /// Targets with a stage order that was not answered, and until when it may be carried out.
    late_stages: BTreeMap<VmName, TimeMs>,
    /// Until when loads of an earlier coordinator may be under way.
    earlier_loads_until: Option<TimeMs>,
    /// Processes that started later, in Unix milliseconds, carry out none of these loads.
    earlier_start_ms: Option<u64>,
}

/// Whether a load brings targets into service or prepares for losses.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum LoadPurpose {
    Required,
    Optional,
}

impl LoadGrants {
    pub(crate) fn new() -> Self {
        Self {
            granted: None,
            reserved: 0,
            needed: LoadNeeds::default(),
            late_stages: BTreeMap::new(),
            earlier_loads_until: None,
            earlier_start_ms: None,
        }
    }

    pub(crate) const fn expect_earlier_loads(&mut self, until: TimeMs) {
        self.earlier_loads_until = Some(until);
    }

    pub(crate) const fn set_earlier_start(&mut self, started_at_ms: u64) {
        self.earlier_start_ms = Some(started_at_ms);
    }

    /// Whether a load of an earlier coordinator may be under way at a target.
    fn may_load_for_earlier(&self, now: TimeMs, entry: &TargetEntry) -> bool {
        let is_later = match (entry.started_at_ms, self.earlier_start_ms) {
            (Some(started_at_ms), Some(earlier_ms)) => started_at_ms > earlier_ms,
            _ => false,
        };
        !is_later && self.earlier_loads_until.is_some_and(|until| now < until)
    }

    pub(crate) fn put(&mut self, granted: GrantedLoads) {
        self.granted = Some(granted);
    }

    pub(crate) fn begin_step(&mut self, now: TimeMs) {
        self.needed = LoadNeeds::default();
        self.late_stages.retain(|_, until| *until > now);
    }

    /// Keeps granted loads for the joins of a plan, or counts them as needed if there are too few.
    pub(crate) fn reserve(&mut self, now: TimeMs, loads: u32) -> bool {
        let usable = self.granted.as_ref().filter(|granted| granted.send_by > now);
        let available = usable.map_or(0, |granted| granted.loads);
        let is_granted = available >= self.reserved + loads;
        match is_granted {
            true => self.reserved += loads,
            false => self.needed.required += loads,
        }
        is_granted
    }

    /// Returns a granted load for a join, or counts it as needed.
    pub(crate) fn take_reserved(&mut self, now: TimeMs) -> Option<GrantedLoad> {
        self.reserved = self.reserved.saturating_sub(1);
        self.take(now, LoadPurpose::Required)
    }

    pub(crate) const fn end_reservation(&mut self) {
        self.reserved = 0;
    }

    /// Returns a granted load, or counts it as needed.
    pub(crate) fn take(&mut self, now: TimeMs, purpose: LoadPurpose) -> Option<GrantedLoad> {
        let reserved = self.reserved;
        let usable = self
            .granted
            .as_mut()
            .filter(|granted| granted.loads > reserved && granted.send_by > now);
        match usable {
            Some(granted) => {
                granted.loads -= 1;
                Some(GrantedLoad { grant: granted.grant.clone(), send_by: granted.send_by })
            }
            None => {
                match purpose {
                    LoadPurpose::Required => self.needed.required += 1,
                    LoadPurpose::Optional => self.needed.optional += 1,
                }
                None
            }
        }
    }

    pub(crate) fn record_late_stage(&mut self, now: TimeMs, target: &VmName) {
        self.late_stages.insert(target.clone(), now.after(LATE_STAGE_MS));
    }
}

impl DomainPlanner {
    /// Returns how many loads the planner needs and has no grant for.
    pub const fn loads_needed(&self) -> LoadNeeds {
        self.load_grants.needed
    }

    /// Whether a join may load the model: the target is not known to keep it until the join.
    ///
    /// A load that is under way evicts the model that the target is listed with.
    pub(crate) fn join_may_load(
        &self,
        now: TimeMs,
        entry: Option<&TargetEntry>,
        model: &ModelName,
    ) -> bool {
        let Some(entry) = entry else { return true };
        match warmth(entry, model) {
            Warmth::Served => false,
            Warmth::Cold => true,
            Warmth::Staged => {
                let stages = self.staging.get(&entry.name);
                stages.is_some_and(|(staged, _)| staged != model)
                    || self.load_grants.late_stages.contains_key(&entry.name)
                    || self.load_grants.may_load_for_earlier(now, entry)
            }
        }
    }
}
