use celeryhaven_fleet::{CloseMode, MemberState, OrderOutcome, Replica, ReplicaKey, TargetOrder};
use celeryhaven_types::{Generation, ModelName, TimeMs, VmName};

use crate::domain::DomainPlanner;
use crate::domain::domain_planner::RecordState;
use crate::domain::formation::{Dissolving, Formation};
use crate::interface::{FormationFailure, FormingAction, FormingView};
use crate::record::PlannedReplica;

impl DomainPlanner {
    /// Evaluates each replica of the domain: opens complete ones, dissolves those that lost a
    /// member.
    pub(crate) fn evaluate_replicas(
        &mut self,
        now: TimeMs,
        view: FormingView<'_>,
        out: &mut Vec<FormingAction>,
    ) {
        let own = view.replicas.values().filter(|r| r.domain.as_ref() == Some(&self.domain));
        for replica in own.cloned().collect::<Vec<_>>() {
            if self.all_members_left(&replica) || self.dissolving.contains_key(&replica.key) {
                continue;
            }
            if self.dissolved.contains_key(&replica.key) {
                self.advance_dissolved(now, view, &replica, out);
            } else if self.formations.contains_key(&replica.key) {
                self.advance_formation(view, &replica, out);
            } else {
                self.evaluate_listed(now, view, &replica, out);
            }
        }
        let failed = self.formations.values().filter_map(|formation| {
            let failure = self.failure_of(now, view, formation)?;
            Some((formation.key.clone(), failure))
        });
        let failed: Vec<_> = failed.collect();
        failed.iter().for_each(|(key, failure)| self.abandon(now, key, *failure, out));
    }

    /// Starts to form a replica once its plan is in the record.
    pub(crate) fn begin_formation(
        &mut self,
        now: TimeMs,
        view: FormingView<'_>,
        plan: &PlannedReplica,
        generation: Generation,
        out: &mut Vec<FormingAction>,
    ) {
        let key = ReplicaKey { replica: plan.replica.clone(), generation };
        let load_ms = view.profile.model(&plan.model).map_or(0, |model| model.load_ms);
        let may_load =
            |member: &&VmName| self.join_may_load(now, view.fleet.target(member), &plan.model);
        let held: Vec<VmName> = plan.members.iter().filter(may_load).cloned().collect();
        let formation = Formation {
            key: key.clone(),
            model: plan.model.clone(),
            members: plan.members.clone(),
            deadline: now.after(load_ms * self.settings.load_timeout_factor),
            held: held.clone(),
            held_until: now.after(self.settings.held_join_max_ms),
            accepted: Vec::new(),
            open_sent: false,
        };
        self.log_change(&key, "planned", plan.members.first(), out);
        self.formations.insert(key.clone(), formation);
        self.plan_pauses.record_plan(now, &plan.members);
        for member in &plan.members {
            if held.contains(member) {
                continue;
            }
            self.send(member.clone(), join_order(&key, &plan.model, &plan.members), out);
        }
        self.send_held_joins(now, out);
    }

    /// Sends the joins that may load a model, as far as loads are granted.
    pub(crate) fn send_held_joins(&mut self, now: TimeMs, out: &mut Vec<FormingAction>) {
        for key in self.formations.keys().cloned().collect::<Vec<_>>() {
            let Some(formation) = self.formations.get(&key) else { continue };
            if formation.held_until <= now {
                continue;
            }
            let (model, members) = (formation.model.clone(), formation.members.clone());
            for member in formation.held.clone() {
                let Some(load) = self.load_grants.take_reserved(now) else { continue };
                if let Some(formation) = self.formations.get_mut(&key) {
                    formation.held.retain(|held| *held != member);
                }
                self.send_load(member, join_order(&key, &model, &members), load, out);
            }
        }
    }

    /// Applies the outcome of a join order.
    pub(crate) fn apply_join_outcome(
        &mut self,
        now: TimeMs,
        key: &ReplicaKey,
        target: &VmName,
        outcome: OrderOutcome,
        out: &mut Vec<FormingAction>,
    ) {
        match outcome {
            OrderOutcome::Accepted | OrderOutcome::AlreadyHeld => {
                self.plan_pauses.record_success(target);
            }
            _ => self.plan_pauses.record_failure(now, target),
        }
        let Some(formation) = self.formations.get_mut(key) else { return };
        match outcome {
            OrderOutcome::Accepted | OrderOutcome::AlreadyHeld => {
                formation.accepted.push(target.clone());
            }
            OrderOutcome::Refused => self.abandon(now, key, FormationFailure::JoinRefused, out),
            OrderOutcome::TargetRemoved | OrderOutcome::Unanswered => {
                self.abandon(now, key, FormationFailure::MemberUnreachable, out);
            }
        }
    }

    /// Opens the head once every member is ready under this name and generation.
    ///
    /// No other component checks the members, and a head without all its members cannot answer.
    fn advance_formation(
        &mut self,
        view: FormingView<'_>,
        replica: &Replica,
        out: &mut Vec<FormingAction>,
    ) {
        let Some(formation) = self.formations.get(&replica.key) else { return };
        let reachable = formation.members.iter().all(|name| self.is_reachable(name))
            && !self.is_evacuated(view);
        let Some(formation) = self.formations.get_mut(&replica.key) else { return };
        if replica.head_state == Some(MemberState::Open) {
            self.formations.remove(&replica.key);
            self.log_change(&replica.key, "open", replica.head(), out);
            return;
        }
        let whole = replica.is_complete(formation.members.len()) && replica.all_ready;
        let listed = formation.members.iter().all(|name| !view.fleet.is_lapsed(name));
        if whole && reachable && listed && !replica.draining && !formation.open_sent {
            formation.open_sent = true;
            let ReplicaKey { replica, generation } = formation.key.clone();
            let head = formation.members[0].clone();
            self.send(head, TargetOrder::Open { replica, generation }, out);
        }
    }

    /// Returns why a formation is to be abandoned, if it is.
    fn failure_of(
        &self,
        now: TimeMs,
        view: FormingView<'_>,
        formation: &Formation,
    ) -> Option<FormationFailure> {
        let was_held = !formation.held.is_empty() && formation.held_until <= now;
        match () {
            () if self.has_lost_member(view, formation) => Some(FormationFailure::MemberLost),
            () if was_held => Some(FormationFailure::NoLoadGranted),
            () if formation.deadline <= now => Some(FormationFailure::TimedOut),
            () => None,
        }
    }

    /// Whether a formation has lost a member or one is draining.
    fn has_lost_member(&self, view: FormingView<'_>, formation: &Formation) -> bool {
        formation.members.iter().any(|name| {
            self.unreachable.contains_key(name)
                || view
                    .fleet
                    .target(name)
                    .is_none_or(|entry| entry.phase == celeryhaven_fleet::TargetPhase::Draining)
        })
    }

    fn abandon(
        &mut self,
        now: TimeMs,
        key: &ReplicaKey,
        failure: FormationFailure,
        out: &mut Vec<FormingAction>,
    ) {
        let Some(formation) = self.formations.remove(key) else { return };
        out.push(FormingAction::CountFailedFormation { cause: failure });
        self.log_change(key, failure.change(), None, out);
        self.plan_pauses.record_failed_formation(now, &formation.members);
        self.dissolve(now, key, formation.members, out);
    }

    /// Evaluates a replica that this planner is not forming.
    fn evaluate_listed(
        &mut self,
        now: TimeMs,
        view: FormingView<'_>,
        replica: &Replica,
        out: &mut Vec<FormingAction>,
    ) {
        let model = replica.model.clone().or_else(|| self.planned_model(&replica.key));
        let size = model.and_then(|model| Some(view.profile.model(&model)?.size));
        let complete = size.is_some_and(|size| replica.is_complete(size));
        let lost = replica.members.iter().flatten().any(|name| self.unreachable.contains_key(name));
        let listed = replica.members.iter().flatten().cloned();
        let members = self.possible_members(view, &replica.key, listed);
        match replica.head_state {
            Some(MemberState::Open | MemberState::Closing) => {
                let should_drain = match size.is_some() && !complete {
                    true => self.missing_members_answer(now, view, replica, out),
                    false => Some(replica.draining),
                };
                let whole = complete || size.is_none();
                match should_drain {
                    _ if lost => self.dissolve_after_loss(now, replica, members, out),
                    None => {}
                    Some(true) => self.close(now, replica, "member leaves", out),
                    Some(false) if whole => {}
                    Some(false) => self.dissolve_after_loss(now, replica, members, out),
                }
            }
            Some(MemberState::Broken) => {
                self.log_change(&replica.key, "broken", None, out);
                self.release(replica);
            }
            Some(MemberState::Joining | MemberState::Ready) => {
                let since = *self.unfinished.entry(replica.key.clone()).or_insert(now);
                let waited = now.since(since) >= self.settings.adopt_after_ms;
                let is_usable = !replica.draining && !self.is_evacuated(view);
                if waited && complete && replica.all_ready && !lost && is_usable {
                    self.adopt(now, view, replica, out);
                } else if lost || waited && !(complete && size.is_some()) {
                    self.dissolve(now, &replica.key, members, out);
                }
            }
            None => match self.missing_members_answer(now, view, replica, out) {
                None => {}
                Some(true) => self.close(now, replica, "member leaves", out),
                Some(false) => self.dissolve(now, &replica.key, members, out),
            },
        }
    }

    fn dissolve_after_loss(
        &mut self,
        now: TimeMs,
        replica: &Replica,
        members: Vec<VmName>,
        out: &mut Vec<FormingAction>,
    ) {
        self.log_change(&replica.key, "member lost", None, out);
        self.dissolve(now, &replica.key, members, out);
    }

    /// Whether every member that is no longer listed still answers, or `None` during a probe.
    fn missing_members_answer(
        &mut self,
        now: TimeMs,
        view: FormingView<'_>,
        replica: &Replica,
        out: &mut Vec<FormingAction>,
    ) -> Option<bool> {
        let listed: Vec<&VmName> = replica.members.iter().flatten().collect();
        // Members that the record does not name cannot be probed and count as lost.
        let Some(plan) = self.planned(&replica.key) else { return Some(false) };
        let missing = plan.members.clone().into_iter().filter(|name| !listed.contains(&name));
        let answers: Vec<Option<bool>> =
            missing.map(|name| self.is_departing(now, view, &name, out)).collect();
        match answers.contains(&Some(false)) {
            true => Some(false),
            false if answers.contains(&None) => None,
            false => Some(true),
        }
    }

    /// Continues a replica that another coordinator has left unfinished.
    fn adopt(
        &mut self,
        now: TimeMs,
        view: FormingView<'_>,
        replica: &Replica,
        out: &mut Vec<FormingAction>,
    ) {
        let Some(model) = replica.model.clone().or_else(|| self.planned_model(&replica.key)) else {
            return;
        };
        let load_ms = view.profile.model(&model).map_or(0, |model| model.load_ms);
        self.log_change(&replica.key, "adopted", replica.head(), out);
        let formation = Formation {
            key: replica.key.clone(),
            model,
            members: replica.members.iter().flatten().cloned().collect(),
            deadline: now.after(load_ms * self.settings.load_timeout_factor),
            held: Vec::new(),
            held_until: now,
            accepted: Vec::new(),
            open_sent: false,
        };
        self.formations.insert(replica.key.clone(), formation);
        self.advance_formation(view, replica, out);
    }

    /// Whether every listed member has left the replica or is unreachable.
    pub(crate) fn all_members_left(&self, replica: &Replica) -> bool {
        let mut members = replica.members.iter().flatten();
        members.all(|member| {
            self.unreachable.contains_key(member)
                || self.left.contains(&(member.clone(), replica.key.clone()))
        })
    }

    /// Orders the head of a replica to finish its requests before the members leave.
    pub(crate) fn close(
        &mut self,
        now: TimeMs,
        replica: &Replica,
        why: &'static str,
        out: &mut Vec<FormingAction>,
    ) {
        self.log_change(&replica.key, why, None, out);
        let remaining = replica.members.iter().flatten().cloned().collect();
        let dissolving = Dissolving { remaining, closing_since: Some(now) };
        self.dissolving.insert(replica.key.clone(), dissolving);
        // A head that is not listed receives no new requests.
        let Some(head) = replica.head().cloned() else { return };
        let ReplicaKey { replica, generation } = replica.key.clone();
        let order = TargetOrder::Close { replica, generation, mode: CloseMode::Finish };
        self.send(head, order, out);
    }

    fn planned_model(&self, key: &ReplicaKey) -> Option<ModelName> {
        self.planned(key).map(|plan| plan.model.clone())
    }

    /// Returns the plan of a replica, if the record is known and contains it.
    pub(crate) fn planned(&self, key: &ReplicaKey) -> Option<&PlannedReplica> {
        let (RecordState::Known(record) | RecordState::Writing(record)) = &self.record else {
            return None;
        };
        let mut plans = record.replicas.iter();
        plans.find(|plan| plan.replica == key.replica && plan.generation == Some(key.generation))
    }
}

fn join_order(key: &ReplicaKey, model: &ModelName, members: &[VmName]) -> TargetOrder {
    TargetOrder::Join {
        replica: key.replica.clone(),
        generation: key.generation,
        model: model.clone(),
        members: members.to_vec(),
    }
}
