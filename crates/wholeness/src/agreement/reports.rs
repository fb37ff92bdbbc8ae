use celeryhaven_types::{Boot, Formation, Generation, MemberReport, ReplicaName, TimeMs, VmName};

use crate::agreement::{Assessment, NotWholeReason};

/// The reports of the members of one formation of a replica.
///
/// A restarted member answers at the same address with empty memory, and may claim the same replica
/// and generation. It is detected because its boot differs from the one that the others joined with.
///
/// The age of a report counts from when its poll was sent, so that a delayed answer is not taken for
/// a fresh one.
///
/// ```
/// use celeryhaven_types::{Generation, ReplicaName, TimeMs, VmName};
/// use celeryhaven_wholeness::Agreement;
///
/// let members = vec![VmName::new("vm-1"), VmName::new("vm-2")];
/// let replica = ReplicaName::new("draft-1");
/// let agreement = Agreement::new(replica, Generation::new(1), members, 1_500);
/// assert!(!agreement.evaluate(TimeMs::new(0)).is_whole());
/// ```
#[derive(Clone, Debug)]
pub struct Agreement {
    replica: ReplicaName,
    generation: Generation,
    report_life_ms: u64,
    members: Vec<Member>,
}

#[derive(Clone, Debug)]
struct Member {
    vm: VmName,
    last_report: Option<TimedReport>,
}

#[derive(Clone, Debug)]
struct TimedReport {
    polled_at: TimeMs,
    boot: Boot,
    formation: Option<Formation>,
}

impl Agreement {
    /// Creates an agreement without reports; `members` are in rank order.
    pub fn new(
        replica: ReplicaName,
        generation: Generation,
        members: Vec<VmName>,
        report_life_ms: u64,
    ) -> Self {
        let members = members.into_iter().map(|vm| Member { vm, last_report: None }).collect();
        Self { replica, generation, report_life_ms, members }
    }

    /// Applies a member's report from a poll sent at `polled_at`, unless a later poll was answered.
    pub fn apply_report(&mut self, polled_at: TimeMs, report: &MemberReport) {
        let Some(member) = self.member_mut(&report.vm) else { return };
        if member.last_report.as_ref().is_some_and(|last_report| last_report.polled_at > polled_at)
        {
            return;
        }
        let formation = report.formation.clone();
        member.last_report = Some(TimedReport { polled_at, boot: report.boot, formation });
    }

    /// Discards the report of a member that did not answer or whose request failed.
    pub fn discard_report(&mut self, vm: &VmName) {
        if let Some(member) = self.member_mut(vm) {
            member.last_report = None;
        }
    }

    /// Evaluates the reports as of `now`.
    pub fn evaluate(&self, now: TimeMs) -> Assessment {
        let not_whole = |vm: &VmName, reason| Assessment::NotWhole { vm: vm.clone(), reason };
        let mut boots = Vec::with_capacity(self.members.len());
        let mut until = TimeMs::new(u64::MAX);
        for member in &self.members {
            let Some(last_report) = &member.last_report else {
                return not_whole(&member.vm, NotWholeReason::NoReport);
            };
            let expires = last_report.polled_at.after(self.report_life_ms);
            if expires <= now {
                return not_whole(&member.vm, NotWholeReason::ReportExpired);
            }
            until = until.min(expires);
            boots.push(last_report.boot);
        }
        match self
            .members
            .iter()
            .find_map(|member| Some((&member.vm, self.find_reason(member, &boots)?)))
        {
            Some((vm, reason)) => not_whole(vm, reason),
            None => Assessment::Whole { boots, until },
        }
    }

    fn find_reason(&self, member: &Member, boots: &[Boot]) -> Option<NotWholeReason> {
        let formation = member.last_report.as_ref()?.formation.as_ref();
        let Some(formation) = formation else { return Some(NotWholeReason::OtherFormation) };
        if formation.replica != self.replica || formation.generation != self.generation {
            Some(NotWholeReason::OtherFormation)
        } else if !formation.ready {
            Some(NotWholeReason::NotReady)
        } else if formation.member_boots != boots {
            Some(NotWholeReason::BootMismatch)
        } else {
            None
        }
    }

    fn member_mut(&mut self, vm: &VmName) -> Option<&mut Member> {
        self.members.iter_mut().find(|member| member.vm == *vm)
    }
}
