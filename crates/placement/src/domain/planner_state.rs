use std::collections::BTreeMap;

use celeryhaven_derives::state;
use celeryhaven_types::{DomainPlacement, Generation, ReplicaName, ReplicaPhase, TimeMs, VmName};

state! {
    /// Times since which conditions have held, as observed by this lease holder.
    #[derive(Default)]
    pub(crate) struct PlannerState {
        pub(crate) releasing_since: BTreeMap<VmName, TimeMs>,
        pub(crate) draining_since: BTreeMap<(ReplicaName, Generation), TimeMs>,
        pub(crate) broken_since: BTreeMap<ReplicaName, TimeMs>,
        pub(crate) short_since: BTreeMap<String, TimeMs>,
        pub(crate) contact_with_most_since: Option<TimeMs>,
        pub(crate) progress: BTreeMap<(ReplicaName, Generation), Progress>,
    }

    /// Progress of loading in a formation.
    #[derive(Copy, Eq)]
    pub(crate) struct Progress {
        pub(crate) loaded_bytes: u64,
        pub(crate) since: TimeMs,
    }
}

impl PlannerState {
    /// Returns how long there has been contact with most VMs, in milliseconds.
    pub(crate) fn contact_with_most_ms(&mut self, now: TimeMs, has_contact_with_most: bool) -> u64 {
        if !has_contact_with_most {
            self.contact_with_most_since = None;
            return 0;
        }
        now.since(*self.contact_with_most_since.get_or_insert(now))
    }

    /// Starts timers for new entries of the placement and removes those of entries it lacks.
    pub(crate) fn update(&mut self, now: TimeMs, placement: &DomainPlacement) {
        let releasing = &placement.releasing;
        self.releasing_since.retain(|vm, _| releasing.iter().any(|r| r.vm == *vm));
        for releasing in releasing {
            self.releasing_since.entry(releasing.vm.clone()).or_insert(now);
        }
        let in_phase = |phase| -> Vec<(ReplicaName, Generation)> {
            let replicas = placement.replicas.iter().filter(|replica| replica.phase == phase);
            replicas.map(|replica| (replica.name.clone(), replica.generation)).collect()
        };
        let draining = in_phase(ReplicaPhase::Draining);
        self.draining_since.retain(|key, _| draining.contains(key));
        for key in draining {
            self.draining_since.entry(key).or_insert(now);
        }
        let forming = in_phase(ReplicaPhase::Forming);
        self.progress.retain(|key, _| forming.contains(key));
        self.broken_since.retain(|name, _| placement.replicas.iter().any(|r| r.name == *name));
    }
}
