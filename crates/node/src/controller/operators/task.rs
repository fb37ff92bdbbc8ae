use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

use celeryhaven_types::store::{ObjectKey, ObjectVersion, StoreReply, StoreRequest};
use celeryhaven_types::{
    Change, Config, ConfigNumber, OperatorName, OperatorRefusal, OperatorReply, OperatorRequest,
    Plan, TimeMs,
};
use serde::Serialize;

use crate::controller::operators::decisions::refused;
use crate::controller::operators::status_report;
use crate::controller::operators::{Outcome, Read, Step};
use crate::controller::state::Fleet;

/// One operator request.
#[derive(Clone, Debug)]
pub(crate) struct Task {
    pub(super) operator: OperatorName,
    pub(super) request: OperatorRequest,
    pub(super) at_unix_ms: u64,
    deadline: TimeMs,
    pub(super) waiting: BTreeSet<Read>,
    pub(super) replies: BTreeMap<Read, StoreReply>,
    pub(super) plan: Option<Plan>,
    /// The configuration to write and the version that it replaces.
    pub(super) next: Option<(Option<ObjectVersion>, Config)>,
    /// Whether a write of the change is in progress.
    is_writing: bool,
    /// Whether a write of the change completed without a reply and may have taken effect.
    pub(super) in_doubt: bool,
}

/// Construction and the deadline.
impl Task {
    pub(crate) fn new(
        operator: OperatorName,
        request: OperatorRequest,
        at_unix_ms: u64,
        deadline: TimeMs,
    ) -> Self {
        Self {
            operator,
            request,
            at_unix_ms,
            deadline,
            waiting: BTreeSet::new(),
            replies: BTreeMap::new(),
            plan: None,
            next: None,
            is_writing: false,
            in_doubt: false,
        }
    }

    pub(crate) const fn deadline(&self) -> TimeMs {
        self.deadline
    }

    /// Returns the refusal at the deadline; it says that nothing changed only if no write of the
    /// change can have taken effect.
    pub(crate) const fn deadline_refusal(&self) -> OperatorRefusal {
        if self.in_doubt || self.is_writing {
            OperatorRefusal::OutcomeUnknown
        } else {
            OperatorRefusal::StoreUnavailable
        }
    }
}

/// Steps.
impl Task {
    pub(crate) fn first_steps(&mut self) -> Vec<Step> {
        let reads: &[Read] = match self.request {
            OperatorRequest::Plan { .. } => &[Read::Config, Read::Allocation, Read::Placements],
            OperatorRequest::Confirm { .. } => &[Read::Plan, Read::Config, Read::Statuses],
            OperatorRequest::Status => &[
                Read::Config,
                Read::Allocation,
                Read::Placements,
                Read::Leases,
                Read::Healths,
                Read::Statuses,
            ],
            OperatorRequest::Audit { .. }
            | OperatorRequest::DrainVm { .. }
            | OperatorRequest::DrainNode { .. } => &[Read::Config],
        };
        self.read(reads.to_vec())
    }

    pub(super) fn read(&mut self, reads: Vec<Read>) -> Vec<Step> {
        self.waiting.extend(reads.iter().cloned());
        reads.into_iter().map(Step::Read).collect()
    }

    /// Returns the call of the Object API that executes a step.
    pub(crate) fn request(&mut self, step: &Step) -> Option<StoreRequest> {
        match step {
            Step::Read(read) => Some(self.read_request(read)),
            Step::SavePlan => {
                let plan = self.plan.as_ref()?;
                let key = ObjectKey::new(format!("plans/{}", plan.id));
                Some(StoreRequest::Create { key, value: text(plan) })
            }
            Step::CopyAudit => {
                let record = self.config()?.change;
                Some(StoreRequest::Create { key: audit_key(record.number), value: text(&record) })
            }
            Step::WriteConfig => {
                let (version, config) = self.next.as_ref()?;
                self.is_writing = true;
                let (key, value) = (ObjectKey::new("config/current"), text(config));
                Some(match version {
                    Some(version) => StoreRequest::Update { key, version: *version, value },
                    None => StoreRequest::Create { key, value },
                })
            }
        }
    }

    fn read_request(&self, read: &Read) -> StoreRequest {
        let get = |key: &str| StoreRequest::Get { key: ObjectKey::new(key) };
        let list = |prefix: &str| StoreRequest::List { prefix: ObjectKey::new(prefix) };
        match read {
            Read::Config => get("config/current"),
            Read::Plan => {
                let plan = self.plan_id().map(ToString::to_string).unwrap_or_default();
                get(&format!("plans/{plan}"))
            }
            Read::Allocation => get("allocation/current"),
            Read::Placements => list("placement/"),
            Read::Leases => list("leases/"),
            Read::Healths => list("health/"),
            Read::Statuses => list("status/"),
            Read::Audit(number) => StoreRequest::Get { key: audit_key(*number) },
        }
    }

    pub(crate) fn step_completed(
        &mut self,
        step: Step,
        reply: StoreReply,
        fleet: &Fleet,
        status_max_age_ms: u64,
    ) -> Outcome {
        if step == Step::WriteConfig {
            self.is_writing = false;
            self.in_doubt |= matches!(reply, StoreReply::Unknown);
        }
        match (step, reply) {
            (step, StoreReply::Rejected) => Outcome::Retry(step),
            (Step::Read(read), StoreReply::Unknown | StoreReply::TooOld) => {
                Outcome::Retry(Step::Read(read))
            }
            (Step::Read(read), reply) => {
                self.waiting.remove(&read);
                self.replies.insert(read, reply);
                if self.waiting.is_empty() {
                    self.decide(fleet, status_max_age_ms)
                } else {
                    Outcome::Next(Vec::new())
                }
            }
            // Both objects are immutable and their content follows from their name, so a conflict
            // means that the object already exists.
            (Step::SavePlan, StoreReply::Written { .. } | StoreReply::Conflict) => {
                match self.plan.take() {
                    Some(plan) => Outcome::Answer(OperatorReply::Planned(plan)),
                    None => refused(OperatorRefusal::StoreUnavailable),
                }
            }
            (Step::CopyAudit, StoreReply::Written { .. } | StoreReply::Conflict) => {
                Outcome::Next(vec![Step::WriteConfig])
            }
            (Step::WriteConfig, StoreReply::Written { .. }) => self.accepted(),
            // The conflict may come from an earlier attempt that took effect without a reply.
            (Step::WriteConfig, _) => Outcome::Next(self.read(vec![Read::Config])),
            (step, _) => Outcome::Retry(step),
        }
    }

    pub(super) fn decide(&mut self, fleet: &Fleet, status_max_age_ms: u64) -> Outcome {
        if self.next.is_some() {
            return self.resolve_unknown_write(fleet);
        }
        match self.request.clone() {
            OperatorRequest::Plan { intent } => self.plan(intent, fleet),
            OperatorRequest::Confirm { plan, without } => {
                self.confirm(&plan, &without, status_max_age_ms)
            }
            OperatorRequest::Status => {
                Outcome::Answer(OperatorReply::Status(status_report(&self.replies, fleet)))
            }
            OperatorRequest::Audit { last } => self.audit(last),
            OperatorRequest::DrainVm { vm, .. } if !fleet.is_target(&vm) => {
                refused(OperatorRefusal::UnknownVm { vm })
            }
            OperatorRequest::DrainNode { node, .. } if !fleet.is_entry_node(&node) => {
                refused(OperatorRefusal::UnknownNode { node })
            }
            OperatorRequest::DrainVm { vm, drained } => {
                let is_so = |config: &Config| config.drained_vms.contains(&vm) == drained;
                self.drain(is_so, Change::DrainVm { vm: vm.clone(), drained })
            }
            OperatorRequest::DrainNode { node, drained } => {
                let is_so = |config: &Config| config.drained_nodes.contains(&node) == drained;
                self.drain(is_so, Change::DrainNode { node: node.clone(), drained })
            }
        }
    }
}

fn audit_key(number: ConfigNumber) -> ObjectKey {
    ObjectKey::new(format!("audit/{number}"))
}

/// Serialisation cannot fail: the values contain only names, numbers and lists.
fn text<T: Serialize>(value: &T) -> Arc<str> {
    serde_json::to_string(value).unwrap_or_default().into()
}
