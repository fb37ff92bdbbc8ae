use celeryhaven_derives::state;
use celeryhaven_types::{Deployment, Priority, Replica, ReplicaPhase};

use crate::domain::forming::in_state;
use crate::domain::{Draft, MemberState, WantedDeployment};

state! {
    /// A replica that cannot serve for want of VMs.
    pub(crate) struct Shortage {
        /// Names it from one round to the next.
        pub(crate) key: String,
        /// Priority of its deployment.
        pub(crate) priority: Priority,
        /// VMs it needs beyond the free ones.
        pub(crate) missing_vms: usize,
        /// VMs it has or could have, idle until it serves.
        pub(crate) idle_vms: usize,
        /// VMs that it will have.
        pub(crate) vms: usize,
        /// How long its formation is expected to take, in seconds.
        pub(crate) forming_s: f64,
    }
}

impl Draft<'_> {
    /// Gives VMs of a replica of low priority to one of higher priority that is short of them.
    ///
    /// Made for the loss of VMs when no spares are left. The harm in doing nothing: the replica
    /// worth most stands still, and the accelerators it has with it, until its VM comes back. The
    /// harm in acting: two replicas are out while one of them forms, and what is left of the other
    /// stands idle. Which is worse depends on the users' weights: [`Draft::gains`]. One at a time,
    /// and only after `break_after_ms`, since most VMs come back by then.
    pub(crate) fn break_for_higher(&mut self) {
        let shortages = self.shortages();
        let keys: Vec<String> = shortages.iter().map(|shortage| shortage.key.clone()).collect();
        self.memory.short_since.retain(|key, _| keys.contains(key));
        for shortage in &shortages {
            self.memory.short_since.entry(shortage.key.clone()).or_insert(self.now);
        }
        if self.is_emptying() {
            return;
        }
        let due = shortages.iter().find_map(|shortage| {
            let since = self.memory.short_since.get(&shortage.key)?;
            let is_due = self.now.since(*since) >= self.settings.break_after_ms;
            is_due.then(|| self.victim(shortage)).flatten()
        });
        if let Some(at) = due {
            self.stop(at);
        }
    }

    /// Shortages, the highest priority first.
    fn shortages(&self) -> Vec<Shortage> {
        let mut shortages: Vec<Shortage> = self
            .wanted_by_priority()
            .iter()
            .flat_map(|wanted| self.broken(wanted).into_iter().chain(self.unformed(wanted)))
            .collect();
        shortages.sort_by(|a, b| b.priority.cmp(&a.priority).then_with(|| a.key.cmp(&b.key)));
        shortages
    }

    /// Whether a replica of higher priority waits for VMs.
    pub(crate) fn is_short_above(&self, priority: Priority) -> bool {
        self.shortages().iter().any(|shortage| shortage.priority > priority)
    }

    fn broken(&self, wanted: &WantedDeployment) -> Vec<Shortage> {
        let of = &wanted.deployment.name;
        let replicas = self.next.replicas.iter().enumerate();
        let replicas = replicas
            .filter(|(_, r)| r.deployment == *of && r.phase != ReplicaPhase::Draining)
            .filter_map(|(at, replica)| {
                let lost = in_state(&self.member_states(at), MemberState::Lost).len();
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

    fn unformed(&self, wanted: &WantedDeployment) -> Option<Shortage> {
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

    /// The replica to break for a shortage: of the lowest priority, one that is broken anyway
    /// before one that serves; `None` if no choice gains enough.
    fn victim(&self, shortage: &Shortage) -> Option<usize> {
        let candidates = self.next.replicas.iter().enumerate().filter(|(_, replica)| {
            self.priority(replica) < shortage.priority
                && self.usable_vms(replica) >= shortage.missing_vms
        });
        let chosen = candidates.min_by_key(|(_, replica)| {
            (self.priority(replica), self.is_whole(replica), replica.name.clone())
        });
        chosen.filter(|(_, replica)| self.gains(shortage, replica)).map(|(at, _)| at)
    }

    fn usable_vms(&self, replica: &Replica) -> usize {
        replica.vms.iter().filter(|vm| !self.is_lost(vm)).count()
    }

    /// Whether breaking costs less than waiting, over the time that a missing VM stays away.
    ///
    /// Waiting: the shortage's replica is down and its VMs are idle until the missing VM returns.
    /// Breaking: it is down and its VMs idle while it forms; the victim is down until the missing
    /// VM returns and it has formed again, and its VMs that are not needed are idle so long.
    /// Downtime counts by priority, so that breaking an equal never pays.
    fn gains(&self, shortage: &Shortage, victim: &Replica) -> bool {
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
        let breaking = downtime_weight
            * (worth(shortage.priority) * forming_s + worth(self.priority(victim)) * victim_down_s)
            + stranded_weight * (idle(shortage.vms) * forming_s + idle(left_over) * return_s);
        let needed_gain = 1.0 + f64::from(self.settings.break_gain_percent) / 100.0;
        breaking * needed_gain <= waiting
    }

    /// How long VMs of a deployment take to load and join, with the weights store to themselves.
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
