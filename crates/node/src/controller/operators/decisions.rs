use celeryhaven_placement::{Allocation, describe, drain_summary, make_plan};
use celeryhaven_types::store::StoreReply;
use celeryhaven_types::{
    Change, ChangeRecord, Config, ConfigNumber, DataCentreName, DataCentreStatus, Intent,
    OperatorRefusal, OperatorReply, OperatorRequest, Plan, PlanId,
};

use crate::controller::operators::status::{found, listed};
use crate::controller::operators::{
    ChangeOutcome, Outcome, Read, Step, Task, accepted_config, change_outcome,
};
use crate::controller::state::{Fleet, current_capacity};

/// Audit records that one request returns at most; each costs a read of the Object API.
const AUDIT_MAX: u32 = 200;

/// Evaluation of a request after its reads are complete.
impl Task {
    pub(super) fn plan(&mut self, intent: Intent, fleet: &Fleet) -> Outcome {
        let config = self.config();
        let allocation: Option<Allocation> = found(self.replies.get(&Read::Allocation));
        let shares = allocation.map(|allocation| allocation.shares).unwrap_or_default();
        let placements: Vec<_> = listed(self.replies.get(&Read::Placements));
        let domains = current_capacity(fleet, config.as_ref());
        let operator = self.operator.clone();
        let plan = make_plan(config.as_ref(), intent, operator, &shares, &placements, &domains);
        self.plan = Some(plan);
        Outcome::Next(vec![Step::SavePlan])
    }

    pub(super) fn confirm(
        &mut self,
        id: &PlanId,
        without: &[DataCentreName],
        status_max_age_ms: u64,
    ) -> Outcome {
        let plan: Option<Plan> = found(self.replies.get(&Read::Plan));
        let Some(plan) = plan else {
            return refused(OperatorRefusal::UnknownPlan { plan: id.clone() });
        };
        let config = self.config();
        let current = config.as_ref().map(|config| config.number).unwrap_or_default();
        if current != plan.base {
            return self.base_changed(plan.base);
        }
        let stale = self.stale_statuses(without, status_max_age_ms);
        if !stale.is_empty() {
            return refused(OperatorRefusal::OldStatus { data_centres: stale });
        }
        let summary = plan.effects.iter().map(describe).collect();
        let record = self.record(Change::Plan { plan: id.clone() }, summary);
        self.change(accepted_config(config.as_ref(), plan.intent, record))
    }

    pub(super) fn drain(
        &mut self,
        is_applied: impl Fn(&Config) -> bool,
        change: Change,
    ) -> Outcome {
        let Some(config) = self.config() else { return refused(OperatorRefusal::NoConfig) };
        if is_applied(&config) {
            return refused(OperatorRefusal::NothingToChange);
        }
        let summary = drain_summary(&change).into_iter().collect();
        let record = self.record(change, summary);
        self.change(accepted_config(Some(&config), config.intent.clone(), record))
    }

    fn record(&self, change: Change, summary: Vec<String>) -> ChangeRecord {
        ChangeRecord {
            number: ConfigNumber::default(),
            from_number: ConfigNumber::default(),
            operator: self.operator.clone(),
            at_unix_ms: self.at_unix_ms,
            change,
            summary,
        }
    }

    /// Writes a change, after the record of the previous one has been copied to its own object.
    ///
    /// The configuration carries only the record of the change that made it. If the next change
    /// were written before the copy, a crash in between would lose that record.
    fn change(&mut self, next: Config) -> Outcome {
        let version = match self.replies.get(&Read::Config) {
            Some(StoreReply::Found(object)) => Some(object.version),
            _ => None,
        };
        self.next = Some((version, next));
        Outcome::Next(vec![if version.is_some() { Step::CopyAudit } else { Step::WriteConfig }])
    }

    /// Determines the outcome of a write that got no conclusive reply.
    pub(super) fn resolve_unknown_write(&mut self, fleet: &Fleet) -> Outcome {
        let Some((version, next)) = self.next.clone() else {
            return refused(OperatorRefusal::OutcomeUnknown);
        };
        let now_version = match self.replies.get(&Read::Config) {
            Some(StoreReply::Found(object)) => Some(object.version),
            _ => None,
        };
        // The write has not taken effect yet, or the read is stale. It can be repeated safely: it
        // names the version that it replaces, so it takes effect at most once.
        if now_version <= version {
            return Outcome::Retry(Step::WriteConfig);
        }
        match self.record_at(next.number) {
            None => self.read_audit(next.number),
            Some(found) if change_outcome(&next.change, &found) == ChangeOutcome::Accepted => {
                self.accepted()
            }
            Some(_) => {
                // The version that the write names has been replaced, so it cannot take effect any
                // more.
                self.in_doubt = false;
                self.next = None;
                match self.request {
                    OperatorRequest::Confirm { .. } => self.base_changed(next.change.from_number),
                    _ => self.decide(fleet, 0),
                }
            }
        }
    }

    /// Returns the refusal for a configuration that is no longer the plan's base: by this very plan
    /// or by another change.
    fn base_changed(&mut self, base: ConfigNumber) -> Outcome {
        let first = base.next();
        let Some(config) = self.config().filter(|config| config.number > base) else {
            return refused(OperatorRefusal::StoreUnavailable);
        };
        let Some(record) = self.record_at(first) else { return self.read_audit(first) };
        match (&record.change, self.plan_id()) {
            (Change::Plan { plan }, Some(asked)) if plan == asked => {
                refused(OperatorRefusal::AlreadyConfirmed {
                    plan: plan.clone(),
                    number: record.number,
                    by: record.operator,
                })
            }
            _ => refused(OperatorRefusal::Conflict {
                base,
                current: config.number,
                by: config.change.operator,
            }),
        }
    }

    /// Reads the record of a change that is no longer in force and so has its own object.
    fn read_audit(&mut self, number: ConfigNumber) -> Outcome {
        let read = Read::Audit(number);
        self.waiting.insert(read.clone());
        match self.replies.remove(&read) {
            None => Outcome::Next(vec![Step::Read(read)]),
            Some(_) => Outcome::Retry(Step::Read(read)),
        }
    }

    pub(super) fn audit(&mut self, last: u32) -> Outcome {
        let Some(config) = self.config() else {
            return Outcome::Answer(OperatorReply::Audit(Vec::new()));
        };
        let count = u64::from(last.clamp(1, AUDIT_MAX));
        let newest = config.number.get();
        let oldest = newest.saturating_sub(count - 1).max(1);
        let older: Vec<ConfigNumber> = (oldest..newest).rev().map(ConfigNumber::new).collect();
        let missing = |number: &&ConfigNumber| !self.replies.contains_key(&Read::Audit(**number));
        let reads: Vec<Read> = older.iter().filter(missing).map(|n| Read::Audit(*n)).collect();
        if !reads.is_empty() {
            return Outcome::Next(self.read(reads));
        }
        let older = older.into_iter().filter_map(|number| self.record_at(number));
        let records = [config.change].into_iter().chain(older).collect();
        Outcome::Answer(OperatorReply::Audit(records))
    }

    pub(super) fn accepted(&mut self) -> Outcome {
        match self.next.take() {
            Some((_, config)) => Outcome::Answer(OperatorReply::Accepted(config.change)),
            None => refused(OperatorRefusal::OutcomeUnknown),
        }
    }
}

/// Values that were read.
impl Task {
    pub(super) fn config(&self) -> Option<Config> {
        found(self.replies.get(&Read::Config))
    }

    pub(super) const fn plan_id(&self) -> Option<&PlanId> {
        match &self.request {
            OperatorRequest::Confirm { plan, .. } => Some(plan),
            _ => None,
        }
    }

    /// Returns the record of the change that made a configuration, if it has been read.
    fn record_at(&self, number: ConfigNumber) -> Option<ChangeRecord> {
        let current = self.config().filter(|config| config.number == number);
        let copied = || found(self.replies.get(&Read::Audit(number)));
        current.map(|config| config.change).or_else(copied)
    }

    /// Returns the data centres whose status is stale and which the operator did not name.
    fn stale_statuses(
        &self,
        without: &[DataCentreName],
        status_max_age_ms: u64,
    ) -> Vec<DataCentreName> {
        let statuses: Vec<DataCentreStatus> = listed(self.replies.get(&Read::Statuses));
        let stale = statuses.into_iter().filter(|status| {
            self.at_unix_ms.saturating_sub(status.at_unix_ms) > status_max_age_ms
                && !without.contains(&status.data_centre)
        });
        stale.map(|status| status.data_centre).collect()
    }
}

pub(super) const fn refused(refusal: OperatorRefusal) -> Outcome {
    Outcome::Answer(OperatorReply::Refused(refusal))
}
