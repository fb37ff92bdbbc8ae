use celeryhaven_queue::QueueEntry;
use celeryhaven_types::{Idempotency, Refusal, RefusalCode, RequestClass, RequestHead, TimeMs};
use rand::Rng;

use crate::fair::outcomes::ATTEMPTS_MAX;
use crate::fair::request::{Cost, Phase, RequestState};
use crate::fair::{ClassKey, FairPolicy};
use crate::interface::{Decision, Ticket};
use crate::overload::return_after_ms;

/// Least retry time if no target serves the class; as much again is added as random jitter.
///
/// Callers of a model whose last replica is lost would otherwise retry in a synchronized burst, or
/// before a new replica can have formed.
const NO_REPLICA_RETRY_MS: u64 = 3_000;

/// Assumed utilisation for the first token of a request that is not sent yet.
const ASSUMED_UTILISATION: f64 = 0.5;

/// A request may wait to be sent for at least its objective divided by this.
const MIN_WAIT_DIVISOR: u64 = 4;

impl FairPolicy {
    /// Admits a request that can meet its deadline, and refuses any other at once.
    ///
    /// Under overload, a request that waits and is refused later has delayed its caller, and one
    /// that is answered late has used a slot in vain.
    pub(crate) fn admit(
        &mut self,
        now: TimeMs,
        ticket: Ticket,
        head: &RequestHead,
        out: &mut Vec<Decision>,
    ) {
        self.retry_budget.deposit();
        let class = self
            .find_class(&head.class)
            .filter(|&key| !self.classes[key.get() as usize].targets.is_empty());
        let Some(class) = class else {
            let refusal = self.no_replica_refusal();
            out.push(Decision::Refuse { ticket, refusal });
            return;
        };
        let request = self.new_request(now, class, head);
        self.requests.insert(ticket, request);
        self.enqueue(now, ticket, out);
        self.dispatch_queued(now, class, out);
    }

    /// Queues a request, or refuses it.
    pub(crate) fn enqueue(&mut self, now: TimeMs, ticket: Ticket, out: &mut Vec<Decision>) {
        let Some(request) = self.requests.get(&ticket) else { return };
        if request.is_governed {
            return self.enqueue_governed(now, ticket, out);
        }
        let queue_entry = self.queue_entry(request);
        let class_key = request.class;
        let wait_ms = self.wait_ms(now, class_key, &queue_entry);
        let class = self.class(class_key);
        if !starts_in_time(now, wait_ms, queue_entry.latest_start) {
            self.refuse_queued(now, ticket, &queue_entry, RefusalCode::DeadlineUnreachable, out);
        } else if class.queue.push(ticket, queue_entry).is_err() {
            self.refuse_queued(now, ticket, &queue_entry, RefusalCode::Overloaded, out);
        } else {
            self.schedule_shed(now, class_key);
        }
    }

    /// Refuses a request that is not at a target, with a retry time.
    pub(crate) fn refuse_queued(
        &mut self,
        now: TimeMs,
        ticket: Ticket,
        queue_entry: &QueueEntry,
        code: RefusalCode,
        out: &mut Vec<Decision>,
    ) {
        let Some(request) = self.requests.get(&ticket) else { return };
        let (class_key, may_have_run) = (request.class, request.may_have_run);
        let (is_governed, deadline) = (request.is_governed, request.deadline);
        let senders = self.senders;
        let returns_ms = self.returns_at(class_key).map_or(0, |at| at.since(now));
        let class = &mut self.classes[class_key.get() as usize];
        let refusal = if may_have_run {
            Refusal::may_have_run(RefusalCode::AnswerLost)
        } else if class.targets.is_empty() {
            self.no_replica_refusal()
        } else if is_governed {
            Refusal::not_run(code)
                .with_retry_after_ms(return_after_ms(deadline.since(now), &mut self.rng))
        } else {
            let drain_ms = class.drain_ms(now, queue_entry, senders).max(returns_ms as f64);
            let cost_ms = queue_entry.cost_ms as f64 / class.capacity(senders).max(1.0);
            let retry_ms =
                class.retry_schedule.next_retry_after_ms(now, drain_ms, cost_ms, &mut self.rng);
            Refusal::not_run(code).with_retry_after_ms(retry_ms)
        };
        self.refuse(ticket, refusal, out);
    }

    /// Returns the queue entry of a request.
    pub(crate) fn queue_entry(&self, request: &RequestState) -> QueueEntry {
        let Cost { mean_ms, high_ms } = request.cost;
        let needed_ms = match request.has_begun {
            true => self.needed_ms(request),
            false => mean_ms + (high_ms - mean_ms) * self.settings.cost_margin,
        };
        let latest_start = TimeMs::new(request.deadline.get().saturating_sub(needed_ms as u64));
        let send_by = match request.is_late {
            true => Some(Self::late_until(request)),
            false => request.send_by,
        };
        QueueEntry {
            flow: request.flow,
            cost_ms: request.cost.mean_ms.max(1.0) as u64,
            latest_start: send_by.map_or(latest_start, |send_by| send_by.min(latest_start)),
            priority: request.priority,
            worth: request.worth,
            tier: self.tier(request),
        }
    }

    /// Returns the time that another attempt of a request needs before the deadline, in milliseconds.
    ///
    /// What is left of an answer that has begun is not known, and to give it up loses all of it, so it
    /// goes on if there is time for its next event.
    pub(crate) fn needed_ms(&self, request: &RequestState) -> f64 {
        let times = &self.classes[request.class.get() as usize].times;
        match request.has_begun {
            true => times.first_token_ms(ASSUMED_UTILISATION, f64::from(request.prompt_tokens)),
            false => request.cost.mean_ms,
        }
    }

    /// Estimates the slot time of a request.
    ///
    /// The estimate covers the prompt tokens that are not expected to be cached, the output length,
    /// and loading the adapter if no target has it.
    pub(crate) fn estimate_cost(&self, request: &RequestState) -> Cost {
        let class = &self.classes[request.class.get() as usize];
        let prefix_len = class.prefixes.prefix_len(&request.blocks) as f64;
        let cached = prefix_len / request.blocks.len().max(1) as f64;
        let expected_cached = cached * class.prefix_hits.value().clamp(0.0, 1.0);
        let uncached = f64::from(request.prompt_tokens) * (1.0 - expected_cached);
        let utilisation = class.utilisation(self.senders);
        let output = class.output_lengths.expected(request.flow, request.output_tokens_max);
        let output_high = class.output_lengths.high(request.flow, request.output_tokens_max);
        let adapter_loaded =
            request.adapter.is_none_or(|key| class.adapter_targets.contains_key(&key));
        let load_ms = if adapter_loaded { 0.0 } else { class.adapter_load_ms.value() };
        Cost {
            mean_ms: load_ms + class.times.service_ms(utilisation, uncached, output),
            high_ms: load_ms + class.times.high_ms(utilisation, uncached, output_high),
        }
    }

    fn new_request(&mut self, now: TimeMs, class: ClassKey, head: &RequestHead) -> RequestState {
        let adapter = match &head.class {
            RequestClass::Completion { adapter: Some(adapter), .. } => {
                Some(self.intern_adapter(adapter))
            }
            RequestClass::Completion { adapter: None, .. } | RequestClass::Plain { .. } => None,
        };
        let is_governed = self.is_governed(class, head);
        let send_within_ms = self.send_within_ms(class, head);
        let mut request = RequestState {
            class,
            flow: self.intern_flow(&head.organisation),
            idempotent: head.idempotency == Idempotency::Idempotent,
            deadline: now.after(head.deadline_in_ms),
            send_by: send_within_ms.map(|within_ms| now.after(within_ms)),
            prompt_tokens: head.prompt_tokens,
            output_tokens_max: head.output_tokens_max,
            adapter,
            blocks: head.prefix_hashes.clone(),
            choice_key: head.choice_key,
            priority: head.priority,
            worth: head.worth,
            is_governed,
            is_late: is_governed && head.start_within_ms.is_none(),
            waits_since: now,
            start_allowed_ms: head
                .start_within_ms
                .zip(send_within_ms)
                .map(|(a, b)| a.saturating_sub(b)),
            cost: Cost { mean_ms: 0.0, high_ms: 0.0 },
            attempts: 0,
            attempts_max: head.attempts_max.unwrap_or(ATTEMPTS_MAX).min(ATTEMPTS_MAX),
            may_have_run: false,
            has_begun: false,
            avoid: None,
            phase: Phase::Queued,
            check_at: None,
            partner: None,
        };
        request.cost = self.estimate_cost(&request);
        request
    }

    /// Time within which a request must be sent so that its answer begins within the objective.
    ///
    /// Without it, an overloaded queue sends the longest waiting request next, which then begins
    /// too late, and no request meets its objective.
    fn send_within_ms(&self, class: ClassKey, head: &RequestHead) -> Option<u64> {
        let within_ms = head.start_within_ms?;
        let times = &self.classes[class.get() as usize].times;
        let first_token_ms =
            times.first_token_ms(ASSUMED_UTILISATION, f64::from(head.prompt_tokens));
        let wait_ms = within_ms.saturating_sub(first_token_ms as u64);
        let wait_ms = match self.is_governed(class, head) {
            // The other half is left for the queue of the engine.
            true => wait_ms / 2,
            false => wait_ms,
        };
        Some(wait_ms.max(within_ms / MIN_WAIT_DIVISOR))
    }

    fn no_replica_refusal(&mut self) -> Refusal {
        let jitter_ms = self.rng.random_range(0..=NO_REPLICA_RETRY_MS);
        Refusal::not_run(RefusalCode::NoReplica)
            .with_retry_after_ms(NO_REPLICA_RETRY_MS + jitter_ms)
    }
}

/// Whether a request that waits this long still starts in time.
pub(crate) fn starts_in_time(now: TimeMs, wait_ms: f64, latest_start: TimeMs) -> bool {
    now.get() as f64 + wait_ms <= latest_start.get() as f64
}
