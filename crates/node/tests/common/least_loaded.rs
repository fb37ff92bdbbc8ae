use std::collections::{BTreeMap, VecDeque};

use celeryhaven_policy::{Decision, PolicyEvent, RequestPolicy, TargetKey, TargetProfile, Ticket};
use celeryhaven_types::{Idempotency, Refusal, RefusalCode, RequestClass, TimeMs, Verdict};

const ATTEMPTS_MAX: u32 = 4;

struct PolicyRequest {
    serves: RequestClass,
    idempotency: Idempotency,
    deadline_at: TimeMs,
    /// When an attempt that has not started is cancelled.
    start_by: Option<TimeMs>,
    target: Option<TargetKey>,
    attempts: u32,
    cancelled: bool,
}

impl PolicyRequest {
    /// When its next timer is due.
    fn wake_at(&self) -> Option<TimeMs> {
        let first = self.start_by.map_or(self.deadline_at, |at| at.min(self.deadline_at));
        (!self.cancelled).then_some(first)
    }
}

/// Policy behaviour that the node must tolerate.
#[derive(Clone, Copy, Default)]
pub struct PolicyBehaviour {
    /// Uses the production policy instead.
    pub fair: bool,
    /// Retries requests that may have run, even if they must not run again.
    pub retries_all: bool,
    /// Refuses at the deadline as "not run", without a cancel.
    pub refuses_without_cancel: bool,
    /// Cancels an attempt that has not started by then, and tries another target.
    pub first_byte_ms: Option<u64>,
}

/// A minimal policy: first come, first served, to the target with the fewest own requests.
#[derive(Default)]
pub struct LeastLoaded {
    behaviour: PolicyBehaviour,
    targets: BTreeMap<TargetKey, TargetProfile>,
    running: BTreeMap<TargetKey, u32>,
    /// Sequence number of the last dispatch to each target.
    used: BTreeMap<TargetKey, u64>,
    dispatches: u64,
    waiting: VecDeque<Ticket>,
    requests: BTreeMap<Ticket, PolicyRequest>,
}

impl LeastLoaded {
    /// Creates a policy with this behaviour.
    pub fn new(behaviour: PolicyBehaviour) -> Self {
        Self { behaviour, ..Self::default() }
    }

    fn dispatch_queued(&mut self, now: TimeMs, out: &mut Vec<Decision>) {
        let mut queued = VecDeque::new();
        while let Some(ticket) = self.waiting.pop_front() {
            let Some(request) = self.requests.get_mut(&ticket) else { continue };
            let running = |key: &TargetKey| self.running.get(key).copied().unwrap_or(0);
            let serving = self.targets.iter().filter(|(key, profile)| {
                profile.serves == request.serves && running(key) < profile.slots
            });
            let used = |key: &TargetKey| self.used.get(key).copied().unwrap_or(0);
            match serving.map(|(key, _)| *key).min_by_key(|key| (running(key), used(key), *key)) {
                Some(target) => {
                    request.target = Some(target);
                    request.attempts += 1;
                    request.cancelled = false;
                    request.start_by = self.behaviour.first_byte_ms.map(|ms| now.after(ms));
                    self.dispatches += 1;
                    self.used.insert(target, self.dispatches);
                    *self.running.entry(target).or_default() += 1;
                    out.push(Decision::Dispatch { ticket, target });
                }
                None => queued.push_back(ticket),
            }
        }
        self.waiting = queued;
    }

    fn release_target(&mut self, ticket: Ticket) {
        let target = self.requests.get_mut(&ticket).and_then(|request| request.target.take());
        if let Some(running) = target.and_then(|target| self.running.get_mut(&target)) {
            *running = running.saturating_sub(1);
        }
    }

    fn complete(&mut self, ticket: Ticket) {
        self.release_target(ticket);
        self.requests.remove(&ticket);
        self.waiting.retain(|waiting| *waiting != ticket);
    }

    fn refuse(&mut self, ticket: Ticket, code: RefusalCode, out: &mut Vec<Decision>) {
        self.complete(ticket);
        out.push(Decision::Refuse { ticket, refusal: Refusal::not_run(code) });
    }

    fn attempt_failed(
        &mut self,
        now: TimeMs,
        ticket: Ticket,
        verdict: Verdict,
        out: &mut Vec<Decision>,
    ) {
        self.release_target(ticket);
        let Some(request) = self.requests.get(&ticket) else { return };
        let is_idempotent = request.idempotency == Idempotency::Idempotent;
        let may_retry = verdict == Verdict::NotRun || is_idempotent || self.behaviour.retries_all;
        if may_retry && request.attempts < ATTEMPTS_MAX && request.deadline_at > now {
            self.waiting.push_back(ticket);
        } else {
            self.refuse(ticket, RefusalCode::AnswerLost, out);
        }
    }

    fn tick(&mut self, now: TimeMs, out: &mut Vec<Decision>) {
        let due = self
            .requests
            .iter()
            .filter(|(_, request)| request.wake_at().is_some_and(|at| at <= now));
        let due: Vec<Ticket> = due.map(|(ticket, _)| *ticket).collect();
        for ticket in due {
            match self.requests.get_mut(&ticket).filter(|request| request.target.is_some()) {
                Some(_) if self.behaviour.refuses_without_cancel => {
                    self.refuse(ticket, RefusalCode::DeadlineUnreachable, out);
                }
                Some(request) => {
                    request.cancelled = true;
                    out.push(Decision::Cancel { ticket });
                }
                None => self.refuse(ticket, RefusalCode::DeadlineUnreachable, out),
            }
        }
    }
}

impl RequestPolicy for LeastLoaded {
    fn handle(&mut self, now: TimeMs, event: PolicyEvent<'_>, out: &mut Vec<Decision>) {
        match event {
            PolicyEvent::Tick => self.tick(now, out),
            PolicyEvent::Arrived { ticket, head } => {
                let serves = match &head.class {
                    RequestClass::Completion { model, .. } => {
                        RequestClass::Completion { model: model.clone(), adapter: None }
                    }
                    plain => plain.clone(),
                };
                let request = PolicyRequest {
                    serves,
                    idempotency: head.idempotency,
                    deadline_at: now.after(head.deadline_in_ms),
                    start_by: None,
                    target: None,
                    attempts: 0,
                    cancelled: false,
                };
                self.requests.insert(ticket, request);
                self.waiting.push_back(ticket);
            }
            PolicyEvent::Finished { ticket, .. } | PolicyEvent::CallerDisconnected { ticket } => {
                self.complete(ticket);
            }
            PolicyEvent::AttemptFailed { ticket, verdict } => {
                self.attempt_failed(now, ticket, verdict, out);
            }
            PolicyEvent::TargetUp { target, profile } => drop(self.targets.insert(target, profile)),
            PolicyEvent::TargetDown { target } => drop(self.targets.remove(&target)),
            PolicyEvent::Started { ticket } => {
                if let Some(request) = self.requests.get_mut(&ticket) {
                    request.start_by = None;
                }
            }
            PolicyEvent::Reported { .. }
            | PolicyEvent::Stalled { .. }
            | PolicyEvent::SecondAttempt { .. }
            | PolicyEvent::CacheChanged { .. }
            | PolicyEvent::Senders { .. }
            | PolicyEvent::Limited { .. }
            | PolicyEvent::BackOff { .. }
            | PolicyEvent::ChoiceKey { .. }
            | PolicyEvent::SlotPart { .. }
            | PolicyEvent::Organisations { .. } => {}
        }
        self.dispatch_queued(now, out);
    }

    fn next_wake(&self) -> Option<TimeMs> {
        self.requests.values().filter_map(PolicyRequest::wake_at).min()
    }
}
