use celeryhaven_derives::state;
use celeryhaven_types::{DataCentreName, DomainName, DomainPlacement, Fence, TimeMs};

use crate::domain::{DomainView, Draft, PlacementSettings, PlannerState};

state! {
    /// Plans the placement of one fabric domain for the holder of its lease.
    ///
    /// Each step is safe by itself: the next holder continues from the stored placement.
    pub struct DomainPlanner {
        settings: PlacementSettings,
        planner_state: PlannerState,
    }
}

impl DomainPlanner {
    /// Creates a planner without any observations.
    pub fn new(settings: PlacementSettings) -> Self {
        Self { settings, planner_state: PlannerState::default() }
    }

    /// Returns the placement to write next; `None` if no change is needed.
    ///
    /// The order of the steps sets who gets spare VMs: replicas that were serving come before new
    /// ones, and within each step the highest priority comes first.
    pub fn revise(&mut self, now: TimeMs, view: DomainView<'_>) -> Option<DomainPlacement> {
        self.planner_state.update(now, view.placement);
        let mut draft = Draft::new(now, self.settings, view, &mut self.planner_state);
        draft.finish_releasing();
        draft.advance_forming();
        draft.repair();
        draft.finish_draining();
        draft.start_draining();
        draft.preempt_for_higher();
        draft.form_missing();
        let next = draft.next;
        (next != *view.placement).then_some(next)
    }
}

/// Returns the placement of a domain without replicas.
pub const fn empty_placement(domain: DomainName, data_centre: DataCentreName) -> DomainPlacement {
    DomainPlacement {
        domain,
        data_centre,
        fence: Fence::new(0),
        write_id: 0,
        next_replica: 1,
        replicas: Vec::new(),
        releasing: Vec::new(),
    }
}
