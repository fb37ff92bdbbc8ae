use celeryhaven_derives::state;
use celeryhaven_types::{Deployment, Priority, Replica, ReplicaPhase};

use crate::domain::forming::members_in_state;
use crate::domain::{Draft, MemberState, WantedDeployment};

state! {
    /// A replica that cannot serve for lack of VMs.
    pub(crate) struct Shortage {
        /// Identifies it across rounds.
        pub(crate) key: String,
        /// Priority of its deployment.
        pub(crate) priority: Priority,
        /// VMs that it needs beyond the free ones.
        pub(crate) missing_vms: usize,
        /// Assigned or free VMs that are idle until it serves.
        pub(crate) idle_vms: usize,
        /// VMs of the complete replica.
        pub(crate) vms: usize,
        /// Expected duration of its formation, in seconds.
        pub(crate) forming_s: f64,
    }
}

impl Draft<'_> {
    /// Preempts a replica of low priority for one of higher priority that lacks VMs.
    ///
    /// This handles the loss of VMs without spares, when [`Draft::is_worthwhile`]. It preempts one
    /// replica at a time, and only after `break_after_ms`, since most VMs return by then.
    pub(crate) fn preempt_for_higher(&mut self) {
        let shortages = self.shortages();
        let keys: Vec<String> = shortages.iter().map(|shortage| shortage.key.clone()).collect();
        self.planner_state.short_since.retain(|key, _| keys.contains(key));
        for shortage in &shortages {
            self.planner_state.short_since.entry(shortage.key.clone()).or_insert(self.now);
        }
        if self.is_freeing_vms() {
            return;
        }
        let due = shortages.iter().find_map(|shortage| {
            let since = self.planner_state.short_since.get(&shortage.key)?;
            let is_due = self.now.since(*since) >= self.settings.break_after_ms;
            is_due.then(|| self.victim(shortage)).flatten()
        });
        if let Some(index) = due {
            self.stop(index);
        }
    }

    /// Returns shortages by descending priority.
    fn shortages(&self) -> Vec<Shortage> {
        let mut shortages: Vec<Shortage> = self
            .wanted_by_priority()
            .iter()
            .flat_map(|wanted| {
                self.shortages_of_broken(wanted).into_iter().chain(self.shortage_of_missing(wanted))
            })
            .collect();
        shortages.sort_by(|a, b| b.priority.cmp(&a.priority).then_with(|| a.key.cmp(&b.key)));
        shortages
    }

    /// Whether a replica of a priority above the given one lacks VMs.
    pub(crate) fn has_shortage_above(&self, priority: Priority) -> bool {
        self.shortages().iter().any(|shortage| shortage.priority > priority)
    }

    fn shortages_of_broken(&self, wanted: &WantedDeployment) -> Vec<Shortage> {
        let name = &wanted.deployment.name;
        let replicas = self.next.replicas.iter().enumerate();
        let replicas = replicas
            .filter(|(_, r)| r.deployment == *name && r.phase != ReplicaPhase::Draining)
            .filter_map(|(index, replica)| {
                let lost = members_in_state(&self.member_states(index), MemberState::Lost).len();
                (lost > self.free.len()).then(|| Shortage {
                    key: replica.name.to_string(),
                    priority: wanted.deployment.priority,
                    missing_vms: lost - self.free.len(),
                    idle_vms: replica.vms.len() - lost,
                    vms: replica.vms.len(),
                    forming_s: self.forming_s(&wanted.deployment, lost),
                })
            });
        replicas.collect()
    }

    fn shortage_of_missing(&self, wanted: &WantedDeployment) -> Option<Shortage> {
        let needed = wanted.deployment.vms_per_replica as usize;
        let is_short = self.active(&wanted.deployment.name) < wanted.replicas as usize;
        (is_short && needed > self.free.len()).then(|| Shortage {
            key: format!("new {}", wanted.deployment.name),
            priority: wanted.deployment.priority,
            missing_vms: needed - self.free.len(),
            idle_vms: self.free.len(),
            vms: needed,
            forming_s: self.forming_s(&wanted.deployment, needed),
        })
    }

    /// Returns the replica to preempt for a shortage: of the lowest priority, and not whole if
    /// possible; `None` if preempting it is not worthwhile.
    fn victim(&self, shortage: &Shortage) -> Option<usize> {
        let candidates = self.next.replicas.iter().enumerate().filter(|(_, replica)| {
            self.priority(replica) < shortage.priority
                && self.usable_vms(replica) >= shortage.missing_vms
        });
        let chosen = candidates.min_by_key(|(_, replica)| {
            (self.priority(replica), self.is_whole(replica), replica.name.clone())
        });
        chosen.filter(|(_, replica)| self.is_worthwhile(shortage, replica)).map(|(index, _)| index)
    }

    fn usable_vms(&self, replica: &Replica) -> usize {
        replica.vms.iter().filter(|vm| !self.is_lost(vm)).count()
    }

    /// Whether preemption costs less than waiting for the missing VM to return.
    ///
    /// While waiting, the replica with the shortage is down and its VMs are idle. With preemption,
    /// this lasts until it has formed, the victim is down until the missing VM has returned and the
    /// victim has formed again, and the victim's other VMs are idle until the missing VM returns.
    /// Downtime is weighted by priority.
    fn is_worthwhile(&self, shortage: &Shortage, victim: &Replica) -> bool {
        let return_s = self.settings.expected_return_ms as f64 / 1_000.0;
        let forming_s = shortage.forming_s;
        let victim_forming_s = self
            .wanted(&victim.deployment)
            .map_or(0.0, |wanted| self.forming_s(&wanted.deployment, shortage.missing_vms));
        let accelerators = self.accelerators_per_vm();
        let idle = |vms: usize| vms as f64 * accelerators;
        let worth = |priority: Priority| f64::from(priority.get()) + 1.0;
        let left_over = self.usable_vms(victim) - shortage.missing_vms;
        let victim_down_s = if self.is_whole(victim) { return_s + victim_forming_s } else { 0.0 };

        let downtime_weight = self.view.objective.group_downtime_weight;
        let stranded_weight = self.view.objective.stranded_accelerator_weight;
        let waiting = downtime_weight * worth(shortage.priority) * return_s
            + stranded_weight * idle(shortage.idle_vms) * return_s;
        let preempting = downtime_weight
            * (worth(shortage.priority) * forming_s + worth(self.priority(victim)) * victim_down_s)
            + stranded_weight * (idle(shortage.vms) * forming_s + idle(left_over) * return_s);
        let needed_gain = 1.0 + f64::from(self.settings.break_gain_percent) / 100.0;
        preempting * needed_gain <= waiting
    }

    /// Returns the time that VMs of a deployment take to load and join, in seconds, if nothing else
    /// uses the weights store.
    fn forming_s(&self, deployment: &Deployment, vms: usize) -> f64 {
        let bytes = deployment.weights_bytes as f64 * vms as f64;
        let rate = self.settings.weights_rate_bytes_per_s.max(1) as f64;
        bytes / rate + self.settings.joining_ms as f64 / 1_000.0
    }

    fn accelerators_per_vm(&self) -> f64 {
        let count = self.view.vms.len().max(1) as f64;
        self.view.vms.values().map(|vm| f64::from(vm.accelerators)).sum::<f64>() / count
    }
}
