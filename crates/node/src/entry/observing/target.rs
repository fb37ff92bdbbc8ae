use std::net::SocketAddr;

use celeryhaven_policy::{TargetKey, TargetLoad, TargetProfile};
use celeryhaven_types::{
    DataCentreName, Generation, MemberReport, ReplicaName, ReplicaPhase, TimeMs, VmName,
};
use celeryhaven_wholeness::{Agreement, Assessment, NotWholeReason};

use crate::entry::ObservedLoad;
use crate::entry::observing::RemoteSeen;

/// Which kind of target it is, with what is known of it.
pub(crate) enum Serving {
    /// One formation of a replica.
    Replica {
        /// Its name.
        name: ReplicaName,
        /// Which formation.
        generation: Generation,
        /// What its members report.
        agreement: Agreement,
        /// Whether the placement lets it serve.
        phase: ReplicaPhase,
        /// Members in rank order; rank 0 takes the requests.
        members: Vec<VmName>,
    },
    /// One VM of a plain service.
    Plain {
        /// The VM.
        vm: VmName,
        /// When its newest good report was asked for.
        seen_at: Option<TimeMs>,
    },
}

/// One target: a formation of a replica, or a VM of a plain service.
pub(crate) struct Target {
    /// Its key in the policy.
    pub(crate) key: TargetKey,
    /// What it is.
    pub(crate) serving: Serving,
    /// Its data centre.
    pub(crate) data_centre: DataCentreName,
    /// What the policy is told of it.
    pub(crate) profile: TargetProfile,
    /// Where requests go; unknown until the VM list names the VM.
    pub(crate) address: Option<SocketAddr>,
    /// Whether configuration and placements still name it.
    pub(crate) wanted: bool,
    /// Whether it falls to this node to observe it for others.
    pub(crate) is_observer: bool,
    /// Whether this node polls its members itself.
    pub(crate) is_polled: bool,
    /// What other entries say of it.
    pub(crate) remote: RemoteSeen,
    /// The newest load of the VM that takes its requests, and when it came.
    pub(crate) load: Option<(TimeMs, ObservedLoad)>,
    /// Whether a VM of it leaves or is drained.
    pub(crate) leaving: bool,
    /// The profile that the policy was told when it was last told it is up.
    pub(crate) told: Option<TargetProfile>,
}

impl Target {
    /// A target of which nothing is known yet; its address comes with the VM list.
    pub(crate) fn new(
        key: TargetKey,
        serving: Serving,
        profile: TargetProfile,
        data_centre: DataCentreName,
    ) -> Self {
        Self {
            key,
            serving,
            profile,
            address: None,
            wanted: true,
            is_observer: true,
            is_polled: true,
            remote: RemoteSeen::default(),
            load: None,
            leaving: false,
            data_centre,
            told: None,
        }
    }

    /// Until when requests may leave for it; `None` if none may now.
    pub(crate) fn routable_until(&self, now: TimeMs, report_life_ms: u64) -> Option<TimeMs> {
        if !self.wanted || self.leaving || self.address.is_none() {
            return None;
        }
        match &self.serving {
            Serving::Replica { phase: ReplicaPhase::Serving, agreement, .. } => {
                let own = agreement.evaluate(now).until();
                let remote = self.remote.until(now, report_life_ms);
                // What this node sees itself goes before what others saw.
                if self.is_observer { own } else { own.max(remote) }
            }
            Serving::Replica { .. } => None,
            Serving::Plain { seen_at, .. } => {
                seen_at.map(|at| at.after(report_life_ms)).filter(|until| *until > now)
            }
        }
    }

    /// Whether the policy takes it for up.
    pub(crate) fn is_up(&self) -> bool {
        self.told.is_some()
    }

    /// The VM that takes its requests.
    pub(crate) fn front(&self) -> Option<&VmName> {
        match &self.serving {
            Serving::Replica { members, .. } => members.first(),
            Serving::Plain { vm, .. } => Some(vm),
        }
    }

    /// Every VM of it.
    pub(crate) fn vms(&self) -> &[VmName] {
        match &self.serving {
            Serving::Replica { members, .. } => members,
            Serving::Plain { vm, .. } => std::slice::from_ref(vm),
        }
    }

    /// Takes a member's report; gives the load if this member takes the requests.
    pub(crate) fn report(
        &mut self,
        now: TimeMs,
        asked_at: TimeMs,
        report: &MemberReport,
    ) -> Option<TargetLoad> {
        match &mut self.serving {
            Serving::Replica { agreement, .. } => agreement.apply_report(asked_at, report),
            Serving::Plain { seen_at, .. } => *seen_at = (*seen_at).max(Some(asked_at)),
        }
        if self.front() != Some(&report.vm) {
            return None;
        }
        self.load = Some((now, observed_load(report, now.since(asked_at))));
        Some(TargetLoad {
            age_ms: now.since(asked_at).saturating_add(report.load_age_ms),
            running: report.running,
            waiting: report.waiting,
            prefill_tokens_queued: report.prefill_tokens_queued,
            kv_used_permille: report.kv_used_permille,
            tokens_generated: report.tokens_generated,
            adapters_loaded: report.adapters_loaded.clone(),
        })
    }

    /// Forgets what a member reported: it did not answer, or a request to it failed.
    pub(crate) fn forget(&mut self, vm: &VmName) {
        match &mut self.serving {
            Serving::Replica { agreement, .. } => agreement.discard_report(vm),
            Serving::Plain { vm: own, seen_at, .. } if own == vm => *seen_at = None,
            Serving::Plain { .. } => {}
        }
    }

    /// What stands against it as a replica, if it is one and not whole.
    pub(crate) fn flaw(&self, now: TimeMs) -> Option<NotWholeReason> {
        let Serving::Replica { agreement, .. } = &self.serving else { return None };
        match agreement.evaluate(now) {
            Assessment::Whole { .. } => None,
            Assessment::NotWhole { reason, .. } => Some(reason),
        }
    }

    /// The replica and generation that a request to it is meant for.
    pub(crate) fn formation(&self) -> Option<(ReplicaName, Generation)> {
        match &self.serving {
            Serving::Replica { name, generation, .. } => Some((name.clone(), *generation)),
            Serving::Plain { .. } => None,
        }
    }
}

fn observed_load(report: &MemberReport, took_ms: u64) -> ObservedLoad {
    ObservedLoad {
        age_ms: took_ms.saturating_add(report.load_age_ms),
        running: report.running,
        waiting: report.waiting,
        prefill_tokens_queued: report.prefill_tokens_queued,
        kv_used_permille: report.kv_used_permille,
        tokens_generated: report.tokens_generated,
    }
}
