use std::collections::BTreeSet;

use celeryhaven_types::VmName;

use crate::target::{TargetEntry, TargetPhase};

/// The listed targets of one fabric domain, with counts.
#[derive(Clone, Debug, Default)]
pub struct DomainTargets {
    names: BTreeSet<VmName>,
    ready: usize,
    empty: usize,
}

impl DomainTargets {
    /// Returns the names in order.
    pub fn names(&self) -> &BTreeSet<VmName> {
        &self.names
    }

    /// Returns the number of targets that accept new work.
    pub fn ready(&self) -> usize {
        self.ready
    }

    /// Returns the number of targets with no model loaded or staged.
    pub fn empty(&self) -> usize {
        self.empty
    }

    pub(crate) fn add(&mut self, entry: &TargetEntry) {
        self.names.insert(entry.name.clone());
        self.ready += usize::from(entry.phase == TargetPhase::Ready);
        self.empty += usize::from(entry.is_empty());
    }

    pub(crate) fn remove(&mut self, entry: &TargetEntry) {
        self.names.remove(&entry.name);
        self.ready -= usize::from(entry.phase == TargetPhase::Ready);
        self.empty -= usize::from(entry.is_empty());
    }
}
