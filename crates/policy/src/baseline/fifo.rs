use std::collections::{BTreeMap, BTreeSet, VecDeque};

use celeryhaven_derives::state;
use celeryhaven_types::{
    Idempotency, Map, Refusal, RefusalCode, RequestClass, RequestHead, TimeMs, Verdict,
};

use crate::interface::{Decision, PolicyEvent, TargetKey, TargetProfile, Ticket};

/// Maximum number of waiting requests of a class.
const QUEUE_MAX: usize = 10_000;

/// Retry time given to every refused caller.
const RETRY_AFTER_MS: u64 = 1_000;

/// Maximum number of attempts of one request.
const ATTEMPTS_MAX: u32 = 2;

state! {
    /// A target of a FIFO policy.
    pub(crate) struct FifoTarget {
        pub(crate) class: usize,
        pub(crate) slots: u32,
        pub(crate) up: bool,
        pub(crate) running: u32,
        pub(crate) reported: u32,
    }

    pub(crate) struct FifoRequest {
        class: usize,
        idempotent: bool,
        deadline: TimeMs,
        attempts: u32,
        may_have_run: bool,
        target: Option<TargetKey>,
    }
}

/// Selects a target of a class that has a free slot for this node.
pub(crate) trait SelectTarget {
    /// Returns the next target, or `None` if none has a free slot.
    fn select(
        &mut self,
        targets: &BTreeMap<TargetKey, FifoTarget>,
        class: usize,
    ) -> Option<TargetKey>;
}

/// One FIFO queue per class; a request waits until its deadline.
#[derive(Clone, Debug, Default)]
pub(crate) struct Fifo<C> {
    selector: C,
    targets: BTreeMap<TargetKey, FifoTarget>,
    requests: Map<Ticket, FifoRequest>,
    classes: Vec<RequestClass>,
    queues: Vec<VecDeque<Ticket>>,
    deadlines: BTreeSet<(TimeMs, Ticket)>,
}

impl<C: SelectTarget> Fifo<C> {
    pub(crate) fn handle(&mut self, now: TimeMs, event: PolicyEvent<'_>, out: &mut Vec<Decision>) {
        match event {
            PolicyEvent::Tick => self.expire(now, out),
            PolicyEvent::Arrived { ticket, head } => self.admit(now, ticket, head, out),
            PolicyEvent::Finished { ticket, .. } | PolicyEvent::CallerDisconnected { ticket } => {
                self.complete(ticket);
            }
            PolicyEvent::AttemptFailed { ticket, verdict } => {
                self.attempt_failed(ticket, verdict, out);
            }
            PolicyEvent::TargetUp { target, profile } => self.target_up(target, profile),
            PolicyEvent::TargetDown { target } => {
                if let Some(state) = self.targets.get_mut(&target) {
                    state.up = false;
                }
            }
            PolicyEvent::Reported { target, load } => {
                if let Some(state) = self.targets.get_mut(&target) {
                    state.reported = load.running.saturating_add(load.waiting);
                }
            }
            PolicyEvent::Started { .. }
            | PolicyEvent::Stalled { .. }
            | PolicyEvent::SecondAttempt { .. }
            | PolicyEvent::CacheChanged { .. }
            | PolicyEvent::Senders { .. }
            | PolicyEvent::Organisations { .. }
            | PolicyEvent::Limited { .. }
            | PolicyEvent::BackOff { .. }
            | PolicyEvent::ChoiceKey { .. }
            | PolicyEvent::SlotPart { .. } => return,
        }
        self.dispatch_queued(out);
    }

    pub(crate) fn next_wake(&self) -> Option<TimeMs> {
        self.deadlines.first().map(|&(at, _)| at)
    }

    fn admit(&mut self, now: TimeMs, ticket: Ticket, head: &RequestHead, out: &mut Vec<Decision>) {
        let class = self.class_of(&head.class);
        let is_served = self.targets.values().any(|target| target.up && target.class == class);
        if !is_served || self.queues[class].len() >= QUEUE_MAX {
            let code = if is_served { RefusalCode::Overloaded } else { RefusalCode::NoReplica };
            let refusal = Refusal::not_run(code).with_retry_after_ms(RETRY_AFTER_MS);
            out.push(Decision::Refuse { ticket, refusal });
            return;
        }
        let deadline = now.after(head.deadline_in_ms);
        self.requests.insert(
            ticket,
            FifoRequest {
                class,
                idempotent: head.idempotency == Idempotency::Idempotent,
                deadline,
                attempts: 0,
                may_have_run: false,
                target: None,
            },
        );
        self.deadlines.insert((deadline, ticket));
        self.queues[class].push_back(ticket);
    }

    fn target_up(&mut self, target: TargetKey, profile: TargetProfile) {
        let running = self.targets.get(&target).map_or(0, |state| state.running);
        let class = self.class_of(&profile.serves);
        let state = FifoTarget { class, slots: profile.slots, up: true, running, reported: 0 };
        self.targets.insert(target, state);
    }

    fn expire(&mut self, now: TimeMs, out: &mut Vec<Decision>) {
        while let Some(&(at, ticket)) = self.deadlines.first() {
            if at > now {
                return;
            }
            self.deadlines.pop_first();
            let Some(request) = self.requests.get(&ticket) else { continue };
            if request.target.is_none() {
                let refusal = if request.may_have_run {
                    Refusal::may_have_run(RefusalCode::AnswerLost)
                } else {
                    Refusal::not_run(RefusalCode::DeadlineUnreachable)
                };
                self.requests.remove(&ticket);
                out.push(Decision::Refuse { ticket, refusal });
            }
        }
    }

    fn attempt_failed(&mut self, ticket: Ticket, verdict: Verdict, out: &mut Vec<Decision>) {
        let Some(request) = self.requests.get_mut(&ticket) else { return };
        request.may_have_run |= verdict != Verdict::NotRun;
        if let Some(state) = request.target.take().and_then(|target| self.targets.get_mut(&target))
        {
            state.running = state.running.saturating_sub(1);
        }
        let safe_to_retry = request.idempotent || !request.may_have_run;
        let before_deadline = self.deadlines.contains(&(request.deadline, ticket));
        if safe_to_retry && before_deadline && request.attempts < ATTEMPTS_MAX {
            self.queues[request.class].push_front(ticket);
            return;
        }
        let refusal = if request.may_have_run {
            Refusal::may_have_run(RefusalCode::AnswerLost)
        } else {
            Refusal::not_run(RefusalCode::Overloaded).with_retry_after_ms(RETRY_AFTER_MS)
        };
        self.complete(ticket);
        out.push(Decision::Refuse { ticket, refusal });
    }

    fn complete(&mut self, ticket: Ticket) {
        let Some(request) = self.requests.remove(&ticket) else { return };
        self.deadlines.remove(&(request.deadline, ticket));
        if let Some(state) = request.target.and_then(|target| self.targets.get_mut(&target)) {
            state.running = state.running.saturating_sub(1);
        }
    }

    fn dispatch_queued(&mut self, out: &mut Vec<Decision>) {
        for class in 0..self.classes.len() {
            self.dispatch_class(class, out);
        }
    }

    fn dispatch_class(&mut self, class: usize, out: &mut Vec<Decision>) {
        while let Some(&ticket) = self.queues[class].front() {
            // Expired and disconnected requests stay in the queue and are skipped here.
            if let Some(request) = self.requests.get_mut(&ticket) {
                let Some(target) = self.selector.select(&self.targets, class) else { return };
                request.target = Some(target);
                request.attempts += 1;
                if let Some(state) = self.targets.get_mut(&target) {
                    state.running += 1;
                }
                out.push(Decision::Dispatch { ticket, target });
            }
            self.queues[class].pop_front();
        }
    }

    fn class_of(&mut self, serves: &RequestClass) -> usize {
        let serves = match serves {
            RequestClass::Completion { model, .. } => {
                RequestClass::Completion { model: model.clone(), adapter: None }
            }
            RequestClass::Plain { .. } => serves.clone(),
        };
        self.classes.iter().position(|class| *class == serves).unwrap_or_else(|| {
            self.classes.push(serves);
            self.queues.push(VecDeque::new());
            self.classes.len() - 1
        })
    }
}
