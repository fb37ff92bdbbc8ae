use std::net::SocketAddr;

use celeryhaven_policy::{TargetKey, TargetLoad, TargetProfile};
use celeryhaven_types::{
    DataCentreName, Generation, MemberReport, ReplicaName, ReplicaPhase, TimeMs, VmName,
};
use celeryhaven_wholeness::{Agreement, Assessment, NotWholeReason};

use crate::entry::ObservedLoad;
use crate::entry::observing::RemoteObservation;

/// Kind and reported state of a target.
pub(crate) enum Serving {
    /// One generation of a replica.
    Replica {
        name: ReplicaName,
        generation: Generation,
        /// Agreement of its members' reports.
        agreement: Agreement,
        /// Phase in the placement.
        phase: ReplicaPhase,
        /// Members in rank order; rank 0 receives the requests.
        members: Vec<VmName>,
    },
    /// One VM of a plain service.
    Plain {
        vm: VmName,
        /// When its newest successful report was requested.
        seen_at: Option<TimeMs>,
    },
}

/// A generation of a replica, or a VM of a plain service.
pub(crate) struct Target {
    /// Key used by the policy.
    pub(crate) key: TargetKey,
    pub(crate) serving: Serving,
    pub(crate) data_centre: DataCentreName,
    /// Profile for the policy.
    pub(crate) profile: TargetProfile,
    /// Destination address; `None` until the VM list contains the VM.
    pub(crate) address: Option<SocketAddr>,
    /// Whether configuration and placements contain it.
    pub(crate) wanted: bool,
    /// Whether this node observes it for other entries.
    pub(crate) is_observer: bool,
    /// Whether this node polls its members.
    pub(crate) is_polled: bool,
    /// Observations of other entries.
    pub(crate) remote: RemoteObservation,
    /// Latest load of the VM that receives its requests, and when it was received.
    pub(crate) load: Option<(TimeMs, ObservedLoad)>,
    /// Whether any of its VMs is leaving or drained.
    pub(crate) leaving: bool,
    /// Profile last announced to the policy; `None` while it is down.
    pub(crate) announced: Option<TargetProfile>,
}

impl Target {
    /// Creates a target without reports or address.
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
            remote: RemoteObservation::default(),
            load: None,
            leaving: false,
            data_centre,
            announced: None,
        }
    }

    /// Returns until when requests may be sent to it; `None` if not now.
    pub(crate) fn eligible_until(&self, now: TimeMs, report_life_ms: u64) -> Option<TimeMs> {
        if !self.wanted || self.leaving || self.address.is_none() {
            return None;
        }
        match &self.serving {
            Serving::Replica { phase: ReplicaPhase::Serving, agreement, .. } => {
                let own = agreement.evaluate(now).until();
                let remote = self.remote.until(now, report_life_ms);
                // An observer relies on its own polls only.
                if self.is_observer { own } else { own.max(remote) }
            }
            Serving::Replica { .. } => None,
            Serving::Plain { seen_at, .. } => {
                seen_at.map(|at| at.after(report_life_ms)).filter(|until| *until > now)
            }
        }
    }

    /// Whether it is announced to the policy as up.
    pub(crate) fn is_up(&self) -> bool {
        self.announced.is_some()
    }

    /// Returns the VM that receives its requests.
    pub(crate) fn front(&self) -> Option<&VmName> {
        match &self.serving {
            Serving::Replica { members, .. } => members.first(),
            Serving::Plain { vm, .. } => Some(vm),
        }
    }

    /// Returns all its VMs.
    pub(crate) fn vms(&self) -> &[VmName] {
        match &self.serving {
            Serving::Replica { members, .. } => members,
            Serving::Plain { vm, .. } => std::slice::from_ref(vm),
        }
    }

    /// Applies a member's report; returns the load if this member receives the requests.
    pub(crate) fn report(
        &mut self,
        now: TimeMs,
        requested_at: TimeMs,
        report: &MemberReport,
    ) -> Option<TargetLoad> {
        match &mut self.serving {
            Serving::Replica { agreement, .. } => agreement.apply_report(requested_at, report),
            Serving::Plain { seen_at, .. } => *seen_at = (*seen_at).max(Some(requested_at)),
        }
        if self.front() != Some(&report.vm) {
            return None;
        }
        self.load = Some((now, observed_load(report, now.since(requested_at))));
        Some(TargetLoad {
            age_ms: now.since(requested_at).saturating_add(report.load_age_ms),
            running: report.running,
            waiting: report.waiting,
            prefill_tokens_queued: report.prefill_tokens_queued,
            kv_used_permille: report.kv_used_permille,
            tokens_generated: report.tokens_generated,
            adapters_loaded: report.adapters_loaded.clone(),
        })
    }

    /// Discards the report of a member that did not answer or to which a request failed.
    pub(crate) fn forget(&mut self, vm: &VmName) {
        match &mut self.serving {
            Serving::Replica { agreement, .. } => agreement.discard_report(vm),
            Serving::Plain { vm: own, seen_at, .. } if own == vm => *seen_at = None,
            Serving::Plain { .. } => {}
        }
    }

    /// Returns why the replica is not whole; `None` if it is whole or a plain service.
    pub(crate) fn flaw(&self, now: TimeMs) -> Option<NotWholeReason> {
        let Serving::Replica { agreement, .. } = &self.serving else { return None };
        match agreement.evaluate(now) {
            Assessment::Whole { .. } => None,
            Assessment::NotWhole { reason, .. } => Some(reason),
        }
    }

    /// Returns the replica and generation that requests must name.
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
