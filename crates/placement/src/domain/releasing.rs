use celeryhaven_types::VmName;

use crate::domain::Draft;

impl Draft<'_> {
    /// Frees VMs that can no longer act on an order of their former replica.
    ///
    /// Guards against a VM in two replicas when targets ignore fencing numbers: an order to join
    /// the former replica may still be on its way, from this holder or from one that was paused.
    /// Every order is begun within `order_life_ms` of its decision or not at all, and no former
    /// holder decides anything after this one's first sight of the placement. So a member that
    /// says it is idle after that long stays idle. A VM that the list has dropped is gone.
    pub(crate) fn settle_releasing(&mut self) {
        let mut releasing = std::mem::take(&mut self.next.releasing);
        releasing.retain(|entry| !self.is_released(&entry.vm));
        self.next.releasing = releasing;
        self.free = self.find_free();
    }

    fn is_released(&self, vm: &VmName) -> bool {
        let Some(state) = self.view.vms.get(vm).filter(|state| state.listed) else { return true };
        let since = self.memory.releasing_since.get(vm).copied().unwrap_or(self.now);
        let safe_at = since.after(self.settings.order_life_ms);
        let report = state.fresh_report(self.now, self.settings.report_life_ms);
        report.is_some_and(|seen| seen.polled_at >= safe_at && seen.report.formation.is_none())
    }
}
