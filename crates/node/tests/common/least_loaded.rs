use std::collections::{BTreeMap, VecDeque};

use celeryhaven_policy::{Decision, PolicyEvent, RequestPolicy, TargetKey, TargetProfile, Ticket};
use celeryhaven_types::{Idempotency, Refusal, RefusalCode, RequestClass, TimeMs, Verdict};

const ATTEMPTS_MAX: u32 = 4;

struct Held {
    serves: RequestClass,
    idempotency: Idempotency,
    deadline_at: TimeMs,
    /// When an attempt that has not started is given up.
    start_by: Option<TimeMs>,
    target: Option<TargetKey>,
    attempts: u32,
    cancelled: bool,
}

impl Held {
    /// When it has to be looked at.
    fn wake_at(&self) -> Option<TimeMs> {
        let first = self.start_by.map_or(self.deadline_at, |at| at.min(self.deadline_at));
        (!self.cancelled).then_some(first)
    }
}

/// What a policy does that the node has to stand against, or that other policies may do.
#[derive(Clone, Copy, Default)]
pub struct Habits {
    /// The policy in use takes this one's place.
    pub fair: bool,
    /// Retries even what may have run and must not run again.
    pub reckless: bool,
    /// Refuses at the deadline without a cancel, as "not run".
    pub blunt: bool,
    /// Cancels an attempt that has not started by then, and tries another target.
    pub first_byte_ms: Option<u64>,
}

/// The smallest policy: first come, first served, at the target with the fewest own requests.
#[derive(Default)]
pub struct LeastLoaded {
    habits: Habits,
    targets: BTreeMap<TargetKey, TargetProfile>,
    running: BTreeMap<TargetKey, u32>,
    /// When each target was used last, in dispatches.
    used: BTreeMap<TargetKey, u64>,
    dispatches: u64,
    waiting: VecDeque<Ticket>,
    held: BTreeMap<Ticket, Held>,
}

impl LeastLoaded {
    /// A policy with these habits.
    pub fn new(habits: Habits) -> Self {
        Self { habits, ..Self::default() }
    }

    fn pump(&mut self, now: TimeMs, out: &mut Vec<Decision>) {
        let mut left = VecDeque::new();
        while let Some(ticket) = self.waiting.pop_front() {
            let Some(held) = self.held.get_mut(&ticket) else { continue };
            let running = |key: &TargetKey| self.running.get(key).copied().unwrap_or(0);
            let serving = self.targets.iter().filter(|(key, profile)| {
                profile.serves == held.serves && running(key) < profile.slots
            });
            let used = |key: &TargetKey| self.used.get(key).copied().unwrap_or(0);
            match serving.map(|(key, _)| *key).min_by_key(|key| (running(key), used(key), *key)) {
                Some(target) => {
                    held.target = Some(target);
                    held.attempts += 1;
                    held.cancelled = false;
                    held.start_by = self.habits.first_byte_ms.map(|ms| now.after(ms));
                    self.dispatches += 1;
                    self.used.insert(target, self.dispatches);
                    *self.running.entry(target).or_default() += 1;
                    out.push(Decision::Dispatch { ticket, target });
                }
                None => left.push_back(ticket),
            }
        }
        self.waiting = left;
    }

    fn leave_target(&mut self, ticket: Ticket) {
        let target = self.held.get_mut(&ticket).and_then(|held| held.target.take());
        if let Some(running) = target.and_then(|target| self.running.get_mut(&target)) {
            *running = running.saturating_sub(1);
        }
    }

    fn end(&mut self, ticket: Ticket) {
        self.leave_target(ticket);
        self.held.remove(&ticket);
        self.waiting.retain(|waiting| *waiting != ticket);
    }

    fn refuse(&mut self, ticket: Ticket, code: RefusalCode, out: &mut Vec<Decision>) {
        self.end(ticket);
        out.push(Decision::Refuse { ticket, refusal: Refusal::not_run(code) });
    }

    fn broken(&mut self, now: TimeMs, ticket: Ticket, verdict: Verdict, out: &mut Vec<Decision>) {
        self.leave_target(ticket);
        let Some(held) = self.held.get(&ticket) else { return };
        let is_idempotent = held.idempotency == Idempotency::Idempotent;
        let may_retry = verdict == Verdict::NotRun || is_idempotent || self.habits.reckless;
        if may_retry && held.attempts < ATTEMPTS_MAX && held.deadline_at > now {
            self.waiting.push_back(ticket);
        } else {
            self.refuse(ticket, RefusalCode::AnswerLost, out);
        }
    }

    fn tick(&mut self, now: TimeMs, out: &mut Vec<Decision>) {
        let due = self.held.iter().filter(|(_, held)| held.wake_at().is_some_and(|at| at <= now));
        let due: Vec<Ticket> = due.map(|(ticket, _)| *ticket).collect();
        for ticket in due {
            match self.held.get_mut(&ticket).filter(|held| held.target.is_some()) {
                Some(_) if self.habits.blunt => {
                    self.refuse(ticket, RefusalCode::DeadlineUnreachable, out);
                }
                Some(held) => {
                    held.cancelled = true;
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
                let held = Held {
                    serves,
                    idempotency: head.idempotency,
                    deadline_at: now.after(head.deadline_in_ms),
                    start_by: None,
                    target: None,
                    attempts: 0,
                    cancelled: false,
                };
                self.held.insert(ticket, held);
                self.waiting.push_back(ticket);
            }
            PolicyEvent::Finished { ticket, .. } | PolicyEvent::CallerDisconnected { ticket } => {
                self.end(ticket);
            }
            PolicyEvent::AttemptFailed { ticket, verdict } => {
                self.broken(now, ticket, verdict, out);
            }
            PolicyEvent::TargetUp { target, profile } => drop(self.targets.insert(target, profile)),
            PolicyEvent::TargetDown { target } => drop(self.targets.remove(&target)),
            PolicyEvent::Started { ticket } => {
                if let Some(held) = self.held.get_mut(&ticket) {
                    held.start_by = None;
                }
            }
            PolicyEvent::Reported { .. }
            | PolicyEvent::CacheChanged { .. }
            | PolicyEvent::Senders { .. }
            | PolicyEvent::Organisations { .. } => {}
        }
        self.pump(now, out);
    }

    fn next_wake(&self) -> Option<TimeMs> {
        self.held.values().filter_map(Held::wake_at).min()
    }
}
