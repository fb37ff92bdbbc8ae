use celeryhaven_queue::Waiting;
use celeryhaven_types::{Idempotency, Refusal, RefusalCode, RequestClass, RequestHead, TimeMs};
use rand::Rng;

use crate::fair::request::{Cost, Phase, RequestState};
use crate::fair::{ClassKey, FairPolicy};
use crate::interface::{Decision, Ticket};

/// When to ask again for something that no target serves, and the spread of it.
///
/// Load: every caller of a model whose last replica has gone. Harm: at one time for all they come
/// back as a wall; sooner than a replica can form they come back in vain. Limit: members form and
/// load within seconds at best.
const NO_REPLICA_RETRY_MS: u64 = 3_000;

/// Part of a target's slots that is taken where its times are those of a sound one.
const USUAL_FILL: f64 = 0.5;

/// Part of its objective that a request may wait for a target in any case, as a divisor.
const WAIT_PART_MIN: u64 = 4;

impl FairPolicy {
    /// Admits a request that can be in time, and refuses any other on the spot.
    ///
    /// Load: more work than can be done by its deadlines. Harm: a request that waits and then
    /// fails has held its caller for nothing, and one that runs and is late has also cost others
    /// a slot. Refused on arrival, the caller can still go elsewhere.
    pub(crate) fn arrive(
        &mut self,
        now: TimeMs,
        ticket: Ticket,
        head: &RequestHead,
        out: &mut Vec<Decision>,
    ) {
        self.retry_budget.arrived();
        let class = self
            .find_class(&head.class)
            .filter(|&key| !self.classes[key.get() as usize].members.is_empty());
        let Some(class) = class else {
            let refusal = self.no_replica();
            out.push(Decision::Refuse { ticket, refusal });
            return;
        };
        let request = self.new_request(now, class, head);
        self.requests.insert(ticket, request);
        self.enqueue(now, ticket, out);
        self.pump(now, class, out);
    }

    /// Puts a request into its queue, or gives it its final answer.
    pub(crate) fn enqueue(&mut self, now: TimeMs, ticket: Ticket, out: &mut Vec<Decision>) {
        let Some(request) = self.requests.get(&ticket) else { return };
        let waiting = self.waiting(request);
        let class_key = request.class;
        let sharers = self.sharers;
        let class = self.class(class_key);
        let wait_ms = class.wait_ms(now, &waiting, sharers);
        if !in_time(now, wait_ms, waiting.latest_start) {
            self.refuse_waiting(now, ticket, &waiting, RefusalCode::DeadlineUnreachable, out);
        } else if class.queue.push(ticket, waiting).is_err() {
            self.refuse_waiting(now, ticket, &waiting, RefusalCode::Overloaded, out);
        } else {
            self.shed_later(now, class_key);
        }
    }

    /// Refuses a request that is not at a target, and says when to ask again.
    pub(crate) fn refuse_waiting(
        &mut self,
        now: TimeMs,
        ticket: Ticket,
        waiting: &Waiting,
        code: RefusalCode,
        out: &mut Vec<Decision>,
    ) {
        let Some(request) = self.requests.get(&ticket) else { return };
        let (class_key, may_have_run) = (request.class, request.may_have_run);
        let sharers = self.sharers;
        let class = &mut self.classes[class_key.get() as usize];
        let refusal = if may_have_run {
            Refusal::may_have_run(RefusalCode::AnswerLost)
        } else if class.members.is_empty() {
            self.no_replica()
        } else {
            let drain_ms = class.drain_ms(now, waiting, sharers);
            let cost_ms = waiting.cost_ms as f64 / class.capacity(sharers).max(1.0);
            let retry_ms = class.return_times.book(now, drain_ms, cost_ms, &mut self.rng);
            Refusal::not_run(code).with_retry_after_ms(retry_ms)
        };
        self.refuse(ticket, refusal, out);
    }

    /// What the queue is told of a request.
    pub(crate) fn waiting(&self, request: &RequestState) -> Waiting {
        let Cost { mean_ms, high_ms } = request.cost;
        let needed_ms = mean_ms + (high_ms - mean_ms) * self.settings.cost_margin;
        let latest_start = TimeMs::new(request.deadline.get().saturating_sub(needed_ms as u64));
        Waiting {
            flow: request.flow,
            cost_ms: request.cost.mean_ms.max(1.0) as u64,
            latest_start: request.send_by.map_or(latest_start, |send_by| send_by.min(latest_start)),
            priority: request.priority,
            worth: request.worth,
        }
    }

    /// Expected time in a slot: prompt tokens beyond what is held, as often as that was found, the answer as this
    /// organisation's answers were, and the adapter's load if no target holds it.
    pub(crate) fn cost(&self, request: &RequestState) -> Cost {
        let class = &self.classes[request.class.get() as usize];
        let known = class.prefixes.known(&request.blocks) as f64;
        let cached = known / request.blocks.len().max(1) as f64;
        let expected_held = cached * class.prefix_hits.value().clamp(0.0, 1.0);
        let uncached = f64::from(request.prompt_tokens) * (1.0 - expected_held);
        let fill = class.fill(self.sharers);
        let output = class.outputs.expected(request.flow, request.output_tokens_max);
        let output_high = class.outputs.high(request.flow, request.output_tokens_max);
        let loaded = request.adapter.is_none_or(|key| class.adapter_holders.contains_key(&key));
        let load_ms = if loaded { 0.0 } else { class.adapter_load_ms.value() };
        Cost {
            mean_ms: load_ms + class.times.service_ms(fill, uncached, output),
            high_ms: load_ms + class.times.high_ms(fill, uncached, output_high),
        }
    }

    fn new_request(&mut self, now: TimeMs, class: ClassKey, head: &RequestHead) -> RequestState {
        let adapter = match &head.class {
            RequestClass::Completion { adapter: Some(adapter), .. } => {
                Some(self.intern_adapter(adapter))
            }
            RequestClass::Completion { adapter: None, .. } | RequestClass::Plain { .. } => None,
        };
        let mut request = RequestState {
            class,
            flow: self.intern_flow(&head.organisation),
            idempotent: head.idempotency == Idempotency::Idempotent,
            deadline: now.after(head.deadline_in_ms),
            send_by: self.send_within_ms(class, head).map(|within_ms| now.after(within_ms)),
            prompt_tokens: head.prompt_tokens,
            output_tokens_max: head.output_tokens_max,
            adapter,
            blocks: head.prefix_hashes.clone(),
            priority: head.priority,
            worth: head.worth,
            cost: Cost { mean_ms: 0.0, high_ms: 0.0 },
            attempts: 0,
            may_have_run: false,
            avoid: None,
            phase: Phase::Queued,
            wake_at: None,
        };
        request.cost = self.cost(&request);
        request
    }

    /// Time within which a request is to be sent for its answer to begin in time.
    ///
    /// Load: more work than the targets can do. Harm: the request that has waited longest is sent next,
    /// and begins too late by as long as a first token takes; nobody is served in time.
    fn send_within_ms(&self, class: ClassKey, head: &RequestHead) -> Option<u64> {
        let within_ms = head.start_within_ms?;
        let times = &self.classes[class.get() as usize].times;
        let first_ms = times.first_token_ms(USUAL_FILL, f64::from(head.prompt_tokens));
        Some(within_ms.saturating_sub(first_ms as u64).max(within_ms / WAIT_PART_MIN))
    }

    fn no_replica(&mut self) -> Refusal {
        let spread_ms = self.rng.random_range(0..=NO_REPLICA_RETRY_MS);
        Refusal::not_run(RefusalCode::NoReplica)
            .with_retry_after_ms(NO_REPLICA_RETRY_MS + spread_ms)
    }
}

/// Whether a request that waits this long still starts in time.
pub(crate) fn in_time(now: TimeMs, wait_ms: f64, latest_start: TimeMs) -> bool {
    now.get() as f64 + wait_ms <= latest_start.get() as f64
}
