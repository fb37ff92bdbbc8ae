use celeryhaven_types::VmName;

use crate::domain::Draft;

impl Draft<'_> {
    /// Frees VMs that can no longer act on an order of their former replica.
    ///
    /// A delayed order to join the former replica could put a VM into two replicas if targets ignore
    /// fencing numbers. Orders expire `order_life_ms` after their decision, and former lease holders
    /// make none after this holder first reads the placement, so a member that reports itself idle
    /// after that time stays idle. Unlisted VMs are released at once.
    pub(crate) fn finish_releasing(&mut self) {
        let mut releasing = std::mem::take(&mut self.next.releasing);
        releasing.retain(|entry| !self.is_released(&entry.vm));
        self.next.releasing = releasing;
        self.free = self.find_free();
    }

    fn is_released(&self, vm: &VmName) -> bool {
        let Some(state) = self.view.vms.get(vm).filter(|state| state.listed) else { return true };
        let since = self.planner_state.releasing_since.get(vm).copied().unwrap_or(self.now);
        let safe_at = since.after(self.settings.order_life_ms);
        let report = state.fresh_report(self.now, self.settings.report_life_ms);
        report.is_some_and(|timed| timed.polled_at >= safe_at && timed.report.formation.is_none())
    }
}
